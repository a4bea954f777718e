#include "StoreReaders.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Over this time the instances of a first start begin to read, unless
/// a view reaches them before.
constexpr double kFirstStartSpreadMs = 2000;
/// \brief Who has such a link is a source for others and reads at once.
constexpr double kFastLinkMegabits = 100;
/// \brief What others spread their reads over, for each megabit a second.
constexpr double kSpreadMsPerMegabit = 50;
constexpr double kMostSpreadMs = 1000;
/// \brief A peer that told of a view has sent parts of it within this time.
constexpr MilliDuration kPeerPatience{ 500 };
/// \brief Even a fetch that makes progress is not waited for any longer.
constexpr MilliDuration kLongestFetch{ 3000 };
/// \brief The store confirms targets at least once a second, and the stand-by
/// hears of it at once.
constexpr MilliDuration kStandByAge{ 1250 };
/// \brief A view older than this makes more instances read the store.
constexpr MilliDuration kOldView{ 2000 };
/// \brief Routes may be older than targets, because their watch waits longer.
constexpr MilliDuration kRoutesAllowance{ 1000 };
/// \brief Pause before the second instance of a zone joins in; it doubles for
/// each further one.
constexpr std::int64_t kJoinPauseMs = 150;
constexpr std::size_t kMostDoublings = 16;
/// \brief Who knows for so long that peers have newer views reads the store.
constexpr MilliDuration kLongestBehind{ 1000 };

/// \returns the time over which instances in a situation begin to read.
double
spreadMs(const StarterSituation& situation)
{
  const bool isSource = situation.isSeed || situation.linkMegabits == 0 ||
                        situation.linkMegabits >= kFastLinkMegabits;
  if (situation.isFirstStart && !situation.isSeed) {
    return kFirstStartSpreadMs;
  }
  return isSource ? 0
                  : std::min(kMostSpreadMs,
                             kSpreadMsPerMegabit * situation.linkMegabits);
}

bool
readsAtStart(const StoreReaderSituation& situation)
{
  if (!situation.sinceOffered) {
    return situation.sinceStart >= situation.askPeersFor;
  }
  const MilliDuration waited = *situation.sinceOffered;
  return situation.isFetching ? waited > kLongestFetch : waited > kPeerPatience;
}

/// \returns the age of the older part of the view.
MilliDuration
viewAge(const StoreReaderSituation& situation)
{
  return MilliDuration{ std::max(
    situation.targetsAge.ms, situation.routesAge.ms - kRoutesAllowance.ms) };
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
  const MilliDuration age = internal::viewAge(situation);
  const bool takesOver =
    situation.role == ReaderRole::standBy && age > internal::kStandByAge;
  return situation.role == ReaderRole::reader || takesOver ||
         situation.behindFor > internal::kLongestBehind ||
         age > internal::joinAge(situation.rankInZone);
}

MilliDuration
askPeersFor(const StarterSituation& situation, Random& random)
{
  const double spread = internal::spreadMs(situation);
  return MilliDuration{ static_cast<std::int64_t>(spread * random.unit()) };
}

}
