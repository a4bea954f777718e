#include "PlacementPolicy.h"

#include "PlacementAperture.h"
#include "TargetEligibility.h"
#include "ZoneRoom.h"

#include <algorithm>
#include <limits>

namespace buckthornwing {
namespace internal {

/// \brief Weight of a queued request relative to an open flow, which may send
/// a request later.
constexpr double kQueueWeight = 6.0;
/// \brief Number of requests per slot by which the queue in another zone must
/// be shorter. The round trip between zones takes about as long as one request.
constexpr double kMinSavedRounds = 2.0;
/// \brief Number of peers in the zone that get each heartbeat. In a zone with
/// no more of them, all loads are reported often enough to compare targets.
constexpr std::size_t kPeersPerHeartbeat = 3;
/// \brief Added to the load of a target that new flows avoid, because it may
/// not answer. Such a target is chosen only if all targets are avoided.
constexpr double kSilentPenalty = 1000000.0;
/// \brief Added to the load of a dead target; exceeds the load of any target
/// that is only avoided.
constexpr double kDeadPenalty = 1000 * kSilentPenalty;

/// \returns the penalty that is added to the load of an avoided or dead target.
double
silencePenalty(const TagBlackboard& board, TargetSlot slot, MilliTime now)
{
  if (board.healthState(slot) == HealthState::dead) {
    return kDeadPenalty;
  }
  return board.isAvoided(slot, now) ? kSilentPenalty : 0.0;
}

std::uint64_t
rendezvousScore(FlowId flow, const KnownTarget& target)
{
  return mixWords(flow.bits, target.key.bits);
}

/// \returns the number of a target's slots, as if all of them served at the
/// speed that is typical of its service.
double
typicalSlotsOf(const TagBlackboard& board, TargetSlot slot)
{
  return slotsOf(board.registry.at(slot).record) /
         board.observer.load(slot).relativeServiceTime;
}

/// \brief Best target found so far.
struct Candidate
{
  TargetSlot slot = kNoTargetSlot;
  double load = std::numeric_limits<double>::max();
  std::uint64_t tieBreaker = 0; ///< the higher one wins if loads are equal

  void offer(const Candidate& other)
  {
    if (other.load < this->load ||
        (other.load == this->load && other.tieBreaker > this->tieBreaker)) {
      *this = other;
    }
  }

  bool isSilent() const { return this->load >= kSilentPenalty; }
};

/// \returns either the best target of this instance's zone or that of other
/// zones.
/// \param own best target of this instance's zone, or kNoTargetSlot
/// \param other best target of all other zones, or kNoTargetSlot
Candidate
chooseZone(const TagBlackboard& board,
           const Candidate& own,
           const Candidate& other)
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
  return saved > kMinSavedRounds ? other : own;
}

/// \returns whether a request can start at once at the best target of a zone,
/// which answers. If none can, queues last longer than reports, and the load
/// that peers report decides.
bool
hasFreeSlot(const TagBlackboard& board, const Candidate& best)
{
  return best.slot != kNoTargetSlot && !best.isSilent() &&
         queuedRounds(board, best.slot) == 0;
}

/// \returns whether the aperture is used: this instance's zone has so many
/// instances that most of their reports are older than a request takes.
bool
usesAperture(const TagBlackboard& board)
{
  return board.settings.policy.usesAperture &&
         board.zonePeers > kPeersPerHeartbeat;
}

/// \brief Targets that a new flow may be placed on.
struct PlacementOptions
{
  Candidate own;                    ///< best target of the own zone
  Candidate other;                  ///< best target of all other zones
  ZoneRoom ownRoom;                 ///< of the own zone
  std::vector<ZoneRoom> otherRooms; ///< one for each other zone

  void add(const TagBlackboard& board,
           FlowId flow,
           TargetSlot slot,
           MilliTime now)
  {
    const KnownTarget& target = board.registry.at(slot);
    const bool isLocal = target.record.zone == board.settings.zone ||
                         !board.settings.policy.prefersOwnZone;
    const double penalty = silencePenalty(board, slot, now);
    (isLocal ? this->own : this->other)
      .offer({ slot,
               placementLoad(board, slot) + penalty,
               rendezvousScore(flow, target) });
    ZoneRoom& room =
      isLocal ? this->ownRoom : roomOf(this->otherRooms, target.record.zone);
    room.add(
      { slot, target.key.bits, typicalSlotsOf(board, slot), penalty == 0 },
      board.observer.load(slot));
  }
};

/// \returns whether flows move to other zones by the load of whole zones.
bool
sharesByRoom(const TagBlackboard& board)
{
  const TagPolicySettings& policy = board.settings.policy;
  return policy.sharesZones && policy.usesZoneRoom;
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
estimateLoad(const TagBlackboard& board, TargetSlot slot)
{
  const TargetLoad& load = board.observer.load(slot);
  const auto peers = static_cast<double>(board.zonePeers);
  const int newFlows = std::max(0, load.flows - load.flowsAtReport);
  const int newBusy = std::max(0, load.busy - load.busyAtReport);
  return EstimatedLoad{ load.flows + load.peerFlows + peers * newFlows,
                        load.busy + load.peerBusy + peers * newBusy };
}

double
queuedRounds(const TagBlackboard& board, TargetSlot slot)
{
  const double slots = internal::typicalSlotsOf(board, slot);
  const double queued = estimateLoad(board, slot).busy + 1 - slots;
  return std::max(0.0, queued) / slots;
}

double
placementLoad(const TagBlackboard& board, TargetSlot slot)
{
  const EstimatedLoad load = estimateLoad(board, slot);
  const double slots = internal::typicalSlotsOf(board, slot);
  const double queued = board.settings.policy.weighsQueues
                          ? std::max(0.0, load.busy + 1 - slots)
                          : 0.0;
  return (load.flows + 1 + internal::kQueueWeight * queued) / slots;
}

TargetSlot
HashPlacement::choose(TagBlackboard& board,
                      FlowId flow,
                      ServiceSlot service,
                      MilliTime now) const
{
  TargetSlot best = kNoTargetSlot;
  bool bestIsLocal = false;
  std::uint64_t bestScore = 0;
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    if (reasonAgainst(board, service, slot, now)) {
      continue;
    }
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
LeastLoadPlacement::choose(TagBlackboard& board,
                           FlowId flow,
                           ServiceSlot service,
                           MilliTime now) const
{
  internal::PlacementOptions options;
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    if (!reasonAgainst(board, service, slot, now)) {
      options.add(board, flow, slot, now);
    }
  }
  ZoneRoom* otherRoom =
    internal::sharesByRoom(board)
      ? chooseOtherZone(options.ownRoom, options.otherRooms, flow)
      : nullptr;
  if (otherRoom != nullptr) {
    return chooseInAperture(board, otherRoom->targets, flow);
  }
  const internal::Candidate best =
    internal::chooseZone(board, options.own, options.other);
  const bool prefersAperture = best.slot == options.own.slot &&
                               internal::hasFreeSlot(board, options.own) &&
                               internal::usesAperture(board);
  return prefersAperture
           ? chooseInAperture(board, options.ownRoom.targets, flow)
           : best.slot;
}

}
