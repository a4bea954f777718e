#include "PlacementPolicy.h"

#include <algorithm>
#include <limits>

namespace buckthornwing {
namespace internal {

/// \brief Slots assumed for a target that publishes none.
constexpr double kDefaultSlots = 4;
/// \brief What a request that must queue weighs against an open flow that may
/// send one.
constexpr double kQueueWeight = 6.0;
/// \brief A cold target counts as this much busier.
constexpr double kColdFactor = 1.6;
/// \brief Load per slot by which another zone must be better.
constexpr double kZoneMargin = 1000.0;

/// \brief A silent target is taken only if all are silent.
constexpr double kSilentPenalty = 1000000.0;
/// \brief Above any load of a target that is only suspected.
constexpr double kDeadPenalty = 1000 * kSilentPenalty;

/// \returns what silence adds to a target's load.
double
silencePenalty(const TagBoard& board, TargetSlot slot, MilliTime now)
{
  if (board.healthState(slot) == HealthState::dead) {
    return kDeadPenalty;
  }
  return board.isAvoided(slot, now) ? kSilentPenalty : 0.0;
}

std::uint64_t
rendezvousScore(FlowId flow, const KnownTarget& target)
{
  return mixWords(flow.bits, target.record.number);
}

}

ServiceSlot
chooseService(const Route& route, FlowId flow)
{
  std::uint64_t total = 0;
  for (const WeightedService& share : route.services) {
    total += share.weight;
  }
  if (total == 0) {
    return kNoServiceSlot;
  }
  std::uint64_t at = mixWords(flow.bits, total) % total;
  for (const WeightedService& share : route.services) {
    if (at < share.weight) {
      return share.service;
    }
    at -= share.weight;
  }
  return kNoServiceSlot;
}

EstimatedLoad
estimateLoad(const TagBoard& board, TargetSlot slot)
{
  const TargetLoad& load = board.observer.load(slot);
  const auto peers = static_cast<double>(board.zonePeers);
  const int newFlows = std::max(0, load.flows - load.flowsAtReport);
  const int newBusy = std::max(0, load.busy - load.busyAtReport);
  return EstimatedLoad{ load.flows + load.peerFlows + peers * newFlows,
                        load.busy + load.peerBusy + peers * newBusy };
}

double
placementLoad(const TagBoard& board, TargetSlot slot, MilliTime now)
{
  const KnownTarget& target = board.registry.at(slot);
  const EstimatedLoad load = estimateLoad(board, slot);
  const double slots = target.record.slots == 0
                         ? internal::kDefaultSlots
                         : static_cast<double>(target.record.slots);
  const double cold = now < target.slowUntil ? internal::kColdFactor : 1.0;
  const double queued = std::max(0.0, load.busy + 1 - slots);
  return (load.flows + 1 + internal::kQueueWeight * queued) * cold / slots;
}

TargetSlot
HashPlacement::choose(TagBoard& board,
                      FlowId flow,
                      ServiceSlot service,
                      MilliTime /*now*/) const
{
  TargetSlot best = kNoTargetSlot;
  bool bestIsLocal = false;
  std::uint64_t bestScore = 0;
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    const KnownTarget& target = board.registry.at(slot);
    const bool isLocal = target.record.zone == board.settings.zone;
    const std::uint64_t score = internal::rendezvousScore(flow, target);
    const bool isBetter = isLocal != bestIsLocal ? isLocal : score > bestScore;
    if (best == kNoTargetSlot || isBetter) {
      best = slot;
      bestIsLocal = isLocal;
      bestScore = score;
    }
  }
  return best;
}

TargetSlot
LeastLoadPlacement::choose(TagBoard& board,
                           FlowId flow,
                           ServiceSlot service,
                           MilliTime now) const
{
  TargetSlot best = kNoTargetSlot;
  double bestLoad = std::numeric_limits<double>::max();
  std::uint64_t bestTie = 0;
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    const KnownTarget& target = board.registry.at(slot);
    const bool isLocal = target.record.zone == board.settings.zone;
    const double load = placementLoad(board, slot, now) +
                        (isLocal ? 0.0 : internal::kZoneMargin) +
                        internal::silencePenalty(board, slot, now);
    const std::uint64_t tie = internal::rendezvousScore(flow, target);
    if (load < bestLoad || (load == bestLoad && tie > bestTie)) {
      best = slot;
      bestLoad = load;
      bestTie = tie;
    }
  }
  return best;
}

}
