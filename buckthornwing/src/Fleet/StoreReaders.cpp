#include "StoreReaders.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief A process that starts hears from a peer within this time, if one has
/// a view: some round trips between zones.
constexpr MilliDuration kAskPeersFirst{ 80 };
/// \brief A peer that told of a view has sent parts of it within this time.
constexpr MilliDuration kPeerPatience{ 500 };
/// \brief Even a fetch that makes progress is not waited for any longer.
constexpr MilliDuration kLongestFetch{ 3000 };
/// \brief A view older than this makes more instances read the store.
constexpr MilliDuration kOldView{ 2000 };
/// \brief Pause before the second instance of a zone joins in; it doubles for
/// each further one.
constexpr std::int64_t kJoinPauseMs = 150;
constexpr std::size_t kMostDoublings = 16;
/// \brief Who knows for so long that peers have newer views reads the store.
constexpr MilliDuration kLongestBehind{ 1000 };

bool
readsAtStart(const StoreReaderSituation& situation)
{
  if (!situation.sinceOffered) {
    return situation.sinceStart >= kAskPeersFirst;
  }
  const MilliDuration waited = *situation.sinceOffered;
  return situation.isFetching ? waited > kLongestFetch : waited > kPeerPatience;
}

/// \returns the age of a view at which an instance of a rank joins in.
MilliDuration
joinAge(std::size_t rankInZone)
{
  const std::size_t doublings = std::min(rankInZone, kMostDoublings);
  const std::int64_t pauses = (std::int64_t{ 1 } << doublings) - 1;
  return MilliDuration{ kOldView.ms + pauses * kJoinPauseMs };
}

}

bool
shouldReadStore(const StoreReaderSituation& situation)
{
  if (!situation.hasView) {
    return internal::readsAtStart(situation);
  }
  return situation.isReader || situation.behindFor > internal::kLongestBehind ||
         situation.viewAge > internal::joinAge(situation.rankInZone);
}

}
