#include "StoreReaders.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time over which all instances but the seeds spread their reads at the
/// first start of the fleet, unless they receive a view before.
constexpr double kFirstStartSpreadMs = 2000;
/// \brief Minimum link rate of instances that read at once and serve others;
/// seeds and instances whose rate is unknown do so too.
constexpr double kFastLinkMegabits = 100;
/// \brief Time over which the others spread their reads, for each Mbit/s of
/// link rate.
constexpr double kSpreadMsPerMegabit = 50;
constexpr double kMaxSpreadMs = 1000;
/// \brief Time within which a peer with a view must have begun to send it.
constexpr MilliDuration kPeerTimeout{ 500 };
/// \brief Maximum time to wait for a view from peers, even if its transfer
/// makes progress.
constexpr MilliDuration kFetchTimeout{ 3000 };
/// \brief Age of the view at which the stand-by takes over. The store confirms
/// the targets at least once a second, and the stand-by is notified at once.
constexpr MilliDuration kTakeoverAge{ 1250 };
/// \brief Age of the view at which further instances begin to read the store.
constexpr MilliDuration kMaxViewAge{ 2000 };
/// \brief Additional age allowed for routes, because their watch requests wait
/// longer.
constexpr MilliDuration kRoutesAgeAllowance{ 1000 };
/// \brief Delay in ms until the second instance of a zone begins to read; it
/// doubles for each further instance.
constexpr std::int64_t kJoinDelayMs = 150;
constexpr std::size_t kMaxDoublings = 16;
/// \brief Time after which an instance reads the store if peers have a newer
/// view and it has not received it.
constexpr MilliDuration kMaxTimeBehind{ 1000 };

/// \returns the time in ms over which instances in this situation spread their
/// reads.
double
spreadMs(const StartSituation& situation)
{
  const bool isSource = situation.isSeed || situation.linkMegabits == 0 ||
                        situation.linkMegabits >= kFastLinkMegabits;
  if (situation.isFirstStart && !situation.isSeed) {
    return kFirstStartSpreadMs;
  }
  return isSource ? 0
                  : std::min(kMaxSpreadMs,
                             kSpreadMsPerMegabit * situation.linkMegabits);
}

bool
readsAtStart(const StoreReaderSituation& situation)
{
  if (!situation.sinceOffered) {
    return situation.sinceStart >= situation.initialReadDelay;
  }
  const MilliDuration waited = *situation.sinceOffered;
  return situation.isFetching ? waited > kFetchTimeout : waited > kPeerTimeout;
}

/// \returns the age of the targets or of the routes less their allowance,
/// whichever is greater.
MilliDuration
viewAge(const StoreReaderSituation& situation)
{
  return MilliDuration{ std::max(
    situation.targetsAge.ms, situation.routesAge.ms - kRoutesAgeAllowance.ms) };
}

/// \returns the age of the view at which an instance of this rank begins to
/// read.
MilliDuration
joinAge(std::size_t rankInZone)
{
  const std::size_t doublings = std::min(rankInZone, kMaxDoublings);
  const std::int64_t delays = (std::int64_t{ 1 } << doublings) - 1;
  return MilliDuration{ kMaxViewAge.ms + delays * kJoinDelayMs };
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
    situation.role == ReaderRole::standBy && age > internal::kTakeoverAge;
  return situation.role == ReaderRole::reader || takesOver ||
         situation.behindFor > internal::kMaxTimeBehind ||
         age > internal::joinAge(situation.rankInZone);
}

MilliDuration
initialReadDelay(const StartSituation& situation, Random& random)
{
  const double spread = internal::spreadMs(situation);
  return MilliDuration{ static_cast<std::int64_t>(spread * random.unit()) };
}

}
