#ifndef BUCKTHORNWING_EVENT_STAMP_H
#define BUCKTHORNWING_EVENT_STAMP_H

#include "../Core/Hash.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthornwing {

/// \returns a 32-bit hash that identifies one run (process lifetime) of an
/// instance; never 0.
inline std::uint32_t
instanceRunId(std::string_view id, std::uint64_t incarnation)
{
  const std::uint64_t mixed = mixWords(hashText(id), incarnation);
  return std::max(static_cast<std::uint32_t>(mixed), std::uint32_t{ 1 });
}

/// \brief Identifies one event that an instance observed, such as a response of
/// the store.
struct EventStamp
{
  /// instanceRunId() of the observing instance; 0: no event.
  std::uint32_t origin = 0;
  std::int64_t at = 0; ///< time of the event on that instance's clock, in ms

  bool operator==(const EventStamp&) const = default;
};

/// \brief Filters out events that were received before, from whichever member.
///
/// Members send the age of an event, which does not include the transit time of
/// the message. If an event were accepted again at each hop, the transit times
/// would add up and the event would always appear recent.
class EventFilter
{
public:
  /// \brief Records an event.
  /// \returns whether it is newer than all earlier events of its origin
  bool accept(const EventStamp& stamp)
  {
    if (stamp.origin == 0) {
      return false;
    }
    if (this->newest.size() >= kMaxOrigins) {
      this->newest.clear();
    }
    const auto [entry, isFirst] =
      this->newest.try_emplace(stamp.origin, stamp.at);
    const bool isNewer = isFirst || stamp.at > entry->second;
    if (isNewer) {
      entry->second = stamp.at;
    }
    return isNewer;
  }

private:
  static constexpr std::size_t kMaxOrigins = 4096;

  boost::unordered_flat_map<std::uint32_t, std::int64_t> newest;
};

}

#endif
