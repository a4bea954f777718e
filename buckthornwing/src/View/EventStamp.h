#ifndef BUCKTHORNWING_EVENT_STAMP_H
#define BUCKTHORNWING_EVENT_STAMP_H

#include "../Core/Hash.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace buckthornwing {

/// \returns a short name of one run of an instance, never 0.
inline std::uint32_t
runKey(std::string_view id, std::uint64_t incarnation)
{
  const std::uint64_t mixed = mixWords(hashText(id), incarnation);
  return std::max(static_cast<std::uint32_t>(mixed), std::uint32_t{ 1 });
}

/// \brief Names one event that an instance saw, as an answer of the store.
struct EventStamp
{
  std::uint32_t origin = 0; ///< runKey() of the instance that saw it; 0: none
  std::int64_t at = 0;      ///< by that instance's clock, milliseconds

  bool operator==(const EventStamp&) const = default;
};

/// \brief Lets each event count once, however many members tell of it.
///
/// Members tell how long ago an event was, without the time that the message
/// takes. Told on and on, the event would grow younger at each hop and seem to
/// have just happened for ever.
class EventFilter
{
public:
  /// \returns whether the event is newer than all of its origin so far.
  bool take(const EventStamp& stamp)
  {
    if (stamp.origin == 0) {
      return false;
    }
    if (this->newest.size() >= kMostOrigins) {
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
  static constexpr std::size_t kMostOrigins = 4096;

  boost::unordered_flat_map<std::uint32_t, std::int64_t> newest;
};

}

#endif
