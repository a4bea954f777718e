#ifndef BUCKTHORNWING_TIMELINE_REPORT_H
#define BUCKTHORNWING_TIMELINE_REPORT_H

#include "DeathDetection.h"
#include "Suspicion.h"
#include "TimelineRow.h"

namespace buckthornwing {

/// \brief Placeholder for the zone of an instance whose start was not logged.
inline constexpr const char* kUnknownZone = "?";

/// \brief Result of a timeline: the counts of all its lines and what happened
/// to targets.
struct TimelineReport
{
  std::uint64_t lines = 0;                ///< well-formed lines
  std::uint64_t malformed = 0;            ///< malformed lines
  std::vector<TimelineRow> rows;          ///< sorted by second, then zone
  std::vector<Suspicion> suspicions;      ///< sorted by target, then time
  std::vector<DeathDetection> detections; ///< sorted by time
  NameTable names;                        ///< names that the indices refer to
  std::unordered_map<NameIndex, std::string> zones; ///< by the instance's name

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
