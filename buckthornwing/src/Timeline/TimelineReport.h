#ifndef BUCKTHORNWING_TIMELINE_REPORT_H
#define BUCKTHORNWING_TIMELINE_REPORT_H

#include "DeathVerdict.h"
#include "Suspicion.h"
#include "TimelineRow.h"

namespace buckthornwing {

/// \brief What stands for the zone of an instance whose start was not logged.
inline constexpr const char* kUnknownZone = "?";

/// \brief What a timeline found in all its lines.
struct TimelineReport
{
  std::uint64_t lines = 0; ///< well formed
  std::uint64_t malformed = 0;
  std::vector<TimelineRow> rows; ///< by second, then zone
  std::vector<Suspicion> suspicions;
  std::vector<DeathVerdict> verdicts; ///< by time
  NameTable names;
  std::unordered_map<NameIndex, std::string> zones; ///< by instance

  /// \returns the zone of an instance, or \c kUnknownZone.
  std::string_view zoneOf(NameIndex instance) const
  {
    const auto found = this->zones.find(instance);
    return found != this->zones.end() ? std::string_view(found->second)
                                      : std::string_view(kUnknownZone);
  }
};

}

#endif
