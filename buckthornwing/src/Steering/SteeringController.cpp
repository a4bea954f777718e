#include "SteeringController.h"

#include "TargetEligibility.h"

namespace buckthornwing {
namespace internal {

/// \brief Oldest view by which a route or target is taken to be absent. An
/// older view proves only what is present.
constexpr MilliDuration kMaxFreshViewAge{ 3000 };
/// \brief Time after the targets were loaded during which packets of open
/// flows are forwarded without routes. Later, the route of such a flow might
/// have been removed.
constexpr MilliDuration kMaxTimeWithoutRoutes{ 3000 };

}

SteeringDecision
SteeringController::decide(const CallerPacket& packet, MilliTime now)
{
  const SteeringDecision decision = this->choose(packet, now);
  this->count(decision);
  return decision;
}

SteeringDecision
SteeringController::decideHeld(const CallerPacket& packet, MilliTime now)
{
  const SteeringDecision decision = this->choose(packet, now);
  if (decision.outcome != SteeringOutcome::hold) {
    this->count(decision);
  }
  return decision;
}

SteeringDecision
SteeringController::preview(const FlowKey& flow, MilliTime now) const
{
  CallerPacket packet;
  packet.flow = flow;
  packet.isOpening = true;
  return this->board.hasView()
           ? this->decideOpening(
               packet, flowIdOf(flow, this->board.settings.tagSecret), now)
           : this->decideWithoutView(packet, now);
}

SteeringDecision
SteeringController::choose(const CallerPacket& packet, MilliTime now)
{
  const FlowId id = flowIdOf(packet.flow, this->board.settings.tagSecret);
  SteeringDecision decision;
  const bool isViewMissing =
    packet.isOpening ? !this->board.hasView() : !this->board.canForward();
  if (isViewMissing) {
    decision = this->decideWithoutView(packet, now);
  } else if (packet.isOpening) {
    decision = this->decideOpening(packet, id, now);
  } else {
    decision = this->decideOpenFlow(packet, id, now);
  }
  return this->finish(packet, id, decision, now);
}

SteeringDecision
SteeringController::decideWithoutView(const CallerPacket& packet,
                                      MilliTime now) const
{
  SteeringDecision decision;
  decision.outcome = SteeringOutcome::hold;
  decision.reason = SteeringReason::noView;
  const bool mayForward =
    this->board.registry.loaded() && !this->board.routes.loaded() &&
    now - this->board.registry.loadedAt() <= internal::kMaxTimeWithoutRoutes;
  if (!mayForward || packet.isOpening || packet.tag.bits == 0) {
    return decision;
  }
  const TargetSlot target =
    this->board.tags.find(this->board.registry, packet.tag, packet.flow);
  const bool isListed =
    target != kNoTargetSlot &&
    this->board.registry.at(target).presence != TargetPresence::gone;
  if (isListed) {
    decision.outcome = SteeringOutcome::forward;
    decision.reason = SteeringReason::tagged;
    decision.tag = packet.tag;
    decision.target = target;
  }
  return decision;
}

SteeringDecision
SteeringController::finish(const CallerPacket& packet,
                           FlowId id,
                           SteeringDecision decision,
                           MilliTime now)
{
  if (decision.outcome == SteeringOutcome::reset && packet.isReset) {
    // A reset is never answered with a reset.
    decision.outcome = SteeringOutcome::drop;
  }
  this->recordOpening(decision, id, now);
  if (decision.outcome == SteeringOutcome::forward) {
    this->observe(packet, id, decision, now);
  } else if (decision.outcome == SteeringOutcome::reset) {
    this->board.observer.onReset(id);
  }
  return decision;
}

void
SteeringController::observe(const CallerPacket& packet,
                            FlowId id,
                            const SteeringDecision& decision,
                            MilliTime now)
{
  const RouteKind kind =
    decision.route == nullptr ? RouteKind::nonIdempotent : decision.route->kind;
  const Observation seen = this->board.observer.onForwarded(
    packet, id, decision.target, kind, decision.tag, now);
  switch (seen) {
    case Observation::dataRetransmitted:
    case Observation::openingRetransmitted: {
      ++this->board.counters.retransmissions;
      const TrackedFlow* flow = this->board.observer.find(id);
      this->health.onRetransmission(decision.target, flow->sentAt, now);
      break;
    }
    case Observation::requestedAgain:
      this->board.slowStart.recordRequest(
        this->board.registry.at(decision.target).key, now);
      break;
    case Observation::established:
      // The handshake of a flow that came from another instance may be older
      // than the death of its target.
      if (this->board.observer.find(id)->openingSeen ||
          this->board.healthState(decision.target) != HealthState::dead) {
        this->health.onProgress(decision.target, now);
      }
      break;
    case Observation::progressed:
      this->health.onProgress(decision.target, now);
      break;
    default:
      break;
  }
}

SteeringDecision
SteeringController::decideOpening(const CallerPacket& packet,
                                  FlowId id,
                                  MilliTime now) const
{
  SteeringDecision decision;
  decision.route = this->board.routes.find(packet.flow.destination);
  if (packet.tag.bits != 0 || !packet.payload.empty()) {
    decision.reason = SteeringReason::strayOpening;
    return decision;
  }
  if (decision.route == nullptr) {
    return this->resetOrDrop(decision, SteeringReason::noRoute, now);
  }
  const TrackedFlow* known = this->board.observer.find(id);
  if (known != nullptr && this->takesCopies(*known)) {
    decision.outcome = SteeringOutcome::forward;
    decision.reason = SteeringReason::openingCopy;
    decision.target = known->target;
    decision.tag = known->tag;
    return decision;
  }
  return this->place(packet, id, *decision.route, now);
}

bool
SteeringController::takesCopies(const TrackedFlow& flow) const
{
  const bool isGone =
    this->board.registry.at(flow.target).presence == TargetPresence::gone;
  if (isGone || this->board.healthState(flow.target) == HealthState::dead) {
    return false;
  }
  // After the end of a flow, an opening with its key begins another one.
  return !flow.closed || !this->board.isEvacuated(flow.target);
}

SteeringDecision
SteeringController::place(const CallerPacket& packet,
                          FlowId id,
                          const Route& route,
                          MilliTime now) const
{
  SteeringDecision decision;
  decision.route = &route;
  const ServiceSlot service = chooseService(route, id);
  decision.target = this->board.settings.policy.byLoad
                      ? this->byLoad.choose(this->board, id, service, now)
                      : this->byHash.choose(this->board, id, service, now);
  const bool isReachable =
    decision.target != kNoTargetSlot &&
    this->board.healthState(decision.target) != HealthState::dead;
  if (isReachable) {
    decision.tag =
      this->board.tags.mint(this->board.registry, packet.flow, decision.target);
  }
  if (decision.tag.bits == 0) {
    return this->resetOrDrop(
      decision, reasonWithoutTarget(this->board, service, now), now);
  }
  if (this->admission.refuses(route, service, decision.target, id)) {
    return this->resetOrDrop(decision, SteeringReason::overloaded, now);
  }
  decision.outcome = SteeringOutcome::forward;
  decision.reason = SteeringReason::placed;
  return decision;
}

void
SteeringController::recordOpening(const SteeringDecision& decision,
                                  FlowId id,
                                  MilliTime now)
{
  const bool isPlaced = decision.reason == SteeringReason::placed;
  if (isPlaced) {
    this->board.counters.targetsAges.add(now - this->board.targetsConfirmedAt);
    this->board.slowStart.recordRequest(
      this->board.registry.at(decision.target).key, now);
  }
  // An opening that is dropped because the view is old is decided again.
  const bool isRefused = decision.reason == SteeringReason::overloaded &&
                         decision.outcome == SteeringOutcome::reset;
  if (isPlaced || isRefused) {
    this->admission.record(
      *decision.route, chooseService(*decision.route, id), isRefused, now);
  }
}

SteeringDecision
SteeringController::decideOpenFlow(const CallerPacket& packet,
                                   FlowId id,
                                   MilliTime now)
{
  SteeringDecision decision;
  decision.route = this->board.routes.find(packet.flow.destination);
  if (decision.route == nullptr) {
    return this->decideForUnknownRoute(packet, id, now);
  }
  decision.tag = packet.tag;
  if (packet.tag.bits == 0) {
    decision.reason = SteeringReason::noTag;
    return decision;
  }
  decision.target =
    this->board.tags.find(this->board.registry, packet.tag, packet.flow);
  if (decision.target == kNoTargetSlot) {
    decision.reason = SteeringReason::unknownTag;
    const bool hasLeft =
      this->unknownTargets.hasTargetLeft(this->board, id, now);
    decision.outcome = hasLeft ? SteeringOutcome::reset : SteeringOutcome::hold;
    return decision;
  }
  if (this->board.registry.at(decision.target).presence ==
      TargetPresence::gone) {
    this->health.onPacketForRemovedTarget(decision.target, now);
  }
  if (this->board.healthState(decision.target) == HealthState::dead) {
    return this->decideForDeadTarget(packet, id, decision, now);
  }
  decision.outcome = SteeringOutcome::forward;
  decision.reason = SteeringReason::tagged;
  return decision;
}

SteeringDecision
SteeringController::decideForUnknownRoute(const CallerPacket& packet,
                                          FlowId id,
                                          MilliTime now)
{
  SteeringDecision decision =
    this->resetOrDrop({}, SteeringReason::noRoute, now);
  // The target may be as new as the route, so its tag need not be known here;
  // only a caller's reset of an unknown flow is not worth holding.
  const bool isTagged =
    packet.isReset
      ? this->board.tags.find(this->board.registry, packet.tag, packet.flow) !=
          kNoTargetSlot
      : packet.tag.bits != 0;
  const bool mayBeNew =
    isTagged && !this->unknownRoutes.isRemoved(this->board, packet, id, now);
  if (mayBeNew) {
    decision.outcome = SteeringOutcome::hold;
  }
  return decision;
}

SteeringDecision
SteeringController::decideForDeadTarget(const CallerPacket& packet,
                                        FlowId id,
                                        SteeringDecision decision,
                                        MilliTime now)
{
  const KnownTarget& target = this->board.registry.at(decision.target);
  const TrackedFlow* flow = this->board.observer.find(id);
  const bool isGone = target.presence == TargetPresence::gone;
  // A request that is not idempotent and may have been executed waits for its
  // answer until the registry reports the target as gone.
  const bool mayHaveRun = decision.route->kind == RouteKind::nonIdempotent &&
                          (flow == nullptr || flow->requested);
  // A reset that was lost is sent again, so a closed flow counts too.
  const TrackedFlow* known = this->board.observer.findOpenOrClosed(id);
  const bool mayBeOpen = known == nullptr || known->target != decision.target ||
                         !this->board.hasLostTarget(*known);
  if (mayBeOpen) {
    this->health.onPacketForDeadTarget(decision.target, now);
  }
  if (packet.isReset || packet.isFinish || mayBeOpen ||
      (mayHaveRun && !isGone)) {
    decision.outcome = SteeringOutcome::forward;
    decision.reason = SteeringReason::tagged;
    return decision;
  }
  const bool isProven = isGone || this->board.hasAnswered(decision.target);
  decision.outcome = isProven ? SteeringOutcome::reset : SteeringOutcome::drop;
  decision.reason =
    isGone ? SteeringReason::targetGone : SteeringReason::targetSilent;
  return decision;
}

SteeringDecision
SteeringController::resetOrDrop(SteeringDecision decision,
                                SteeringReason reason,
                                MilliTime now) const
{
  decision.reason = reason;
  decision.outcome =
    this->isViewFresh(now) ? SteeringOutcome::reset : SteeringOutcome::drop;
  return decision;
}

bool
SteeringController::isViewFresh(MilliTime now) const
{
  const MilliTime oldest =
    std::min(this->board.targetsConfirmedAt, this->board.routesConfirmedAt);
  return now - oldest <= internal::kMaxFreshViewAge;
}

void
SteeringController::count(const SteeringDecision& decision)
{
  TagCounters& counters = this->board.counters;
  ++counters.decisions[static_cast<std::size_t>(decision.reason)];
  ++counters.outcomes[static_cast<std::size_t>(decision.outcome)];
}

}
