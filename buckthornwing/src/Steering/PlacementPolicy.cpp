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
/// \brief Rounds of requests by which the queue of another zone must be
/// shorter. The way there and back takes about as long as one.
constexpr double kZoneRounds = 2.0;

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

double
slotsOf(const KnownTarget& target)
{
  return target.record.slots == 0 ? kDefaultSlots
                                  : static_cast<double>(target.record.slots);
}

/// \brief The best target found so far.
struct Candidate
{
  TargetSlot slot = kNoTargetSlot;
  double load = std::numeric_limits<double>::max();
  std::uint64_t tie = 0; ///< decides between equal loads

  void offer(const Candidate& other)
  {
    if (other.load < this->load ||
        (other.load == this->load && other.tie > this->tie)) {
      *this = other;
    }
  }

  bool isSilent() const { return this->load >= kSilentPenalty; }
};

/// \returns the better of the best targets of the own and of other zones.
Candidate
chooseZone(const TagBoard& board, const Candidate& own, const Candidate& other)
{
  if (own.slot == kNoTargetSlot || other.slot == kNoTargetSlot) {
    return own.slot == kNoTargetSlot ? other : own;
  }
  if (own.isSilent() || other.isSilent()) {
    return other.load < own.load ? other : own;
  }
  if (!board.settings.policy.sharesZones) {
    return own;
  }
  const double saved =
    queuedRounds(board, own.slot) - queuedRounds(board, other.slot);
  return saved > kZoneRounds ? other : own;
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
queuedRounds(const TagBoard& board, TargetSlot slot)
{
  const double slots = internal::slotsOf(board.registry.at(slot));
  const double queued = estimateLoad(board, slot).busy + 1 - slots;
  return std::max(0.0, queued) / slots;
}

double
placementLoad(const TagBoard& board, TargetSlot slot)
{
  const EstimatedLoad load = estimateLoad(board, slot);
  const double slots = internal::slotsOf(board.registry.at(slot));
  const double queued = board.settings.policy.weighsQueues
                          ? std::max(0.0, load.busy + 1 - slots)
                          : 0.0;
  return (load.flows + 1 + internal::kQueueWeight * queued) / slots;
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
  internal::Candidate own;
  internal::Candidate other;
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    const KnownTarget& target = board.registry.at(slot);
    const bool isLocal = target.record.zone == board.settings.zone ||
                         !board.settings.policy.prefersOwnZone;
    (isLocal ? own : other)
      .offer({ slot,
               placementLoad(board, slot) +
                 internal::silencePenalty(board, slot, now),
               internal::rendezvousScore(flow, target) });
  }
  return internal::chooseZone(board, own, other).slot;
}

}
