#include "SteeringController.h"

namespace buckthornwing {
namespace internal {

/// \brief A view confirmed within this time may say that something isn't
/// there; an older one only what is.
constexpr MilliDuration kFreshFor{ 3000 };
/// \brief So long a fresh process forwards packets of open flows before it
/// knows the routes; later they might be of a route that was dropped.
constexpr MilliDuration kWithoutRoutesFor{ 3000 };

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
SteeringController::choose(const CallerPacket& packet, MilliTime now)
{
  const FlowId id = flowIdOf(packet.flow, this->board.settings.tagSecret);
  SteeringDecision decision;
  if (!this->board.hasView()) {
    decision = this->decideWithoutRoutes(packet, now);
  } else if (packet.opens) {
    decision = this->decideOpening(packet, id, now);
  } else {
    decision = this->decideLater(packet, id, now);
  }
  return this->finish(packet, id, decision, now);
}

SteeringDecision
SteeringController::decideWithoutRoutes(const CallerPacket& packet,
                                        MilliTime now)
{
  SteeringDecision decision;
  decision.outcome = SteeringOutcome::hold;
  decision.reason = SteeringReason::noView;
  const bool mayForward =
    this->board.registry.loaded() && !this->board.routes.loaded() &&
    now - this->board.registry.loadedAt() <= internal::kWithoutRoutesFor;
  if (!mayForward || packet.opens || packet.tag.bits == 0) {
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
  if (decision.outcome == SteeringOutcome::reset && packet.resets) {
    // A reset is never answered by another one.
    decision.outcome = SteeringOutcome::drop;
  }
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
    case Observation::repeated:
    case Observation::openingCopied: {
      ++this->board.counters.repeats;
      const TrackedFlow* flow = this->board.observer.find(id);
      this->health.onRepeated(decision.target, flow->sentAt, now);
      break;
    }
    case Observation::established:
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
                                  MilliTime now)
{
  SteeringDecision decision;
  decision.route = this->board.routes.find(packet.flow.destination);
  if (packet.tag.bits != 0 || !packet.payload.empty()) {
    decision.reason = SteeringReason::strayOpening;
    return decision;
  }
  if (decision.route == nullptr) {
    return this->refuse(decision, SteeringReason::noRoute, now);
  }
  const TrackedFlow* known = this->board.observer.find(id);
  // A second target would only get the copies of a flow that the first one
  // may have taken, unless that is known not to answer.
  if (known != nullptr &&
      this->board.registry.at(known->target).presence != TargetPresence::gone &&
      this->board.healthState(known->target) != HealthState::dead) {
    decision.outcome = SteeringOutcome::forward;
    decision.reason = SteeringReason::openingCopy;
    decision.target = known->target;
    decision.tag = known->tag;
    return decision;
  }
  return this->place(packet, id, *decision.route, now);
}

SteeringDecision
SteeringController::place(const CallerPacket& packet,
                          FlowId id,
                          const Route& route,
                          MilliTime now)
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
    return this->refuse(decision, SteeringReason::noTarget, now);
  }
  this->board.counters.targetsAges.add(now - this->board.targetsConfirmedAt);
  decision.outcome = SteeringOutcome::forward;
  decision.reason = SteeringReason::placed;
  return decision;
}

SteeringDecision
SteeringController::decideLater(const CallerPacket& packet,
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
    const bool hasLeft = this->unknownTargets.isGoneForGood(
      this->board, id, isRepeatable(decision.route->kind), now);
    decision.outcome = hasLeft ? SteeringOutcome::reset : SteeringOutcome::hold;
    return decision;
  }
  if (this->board.registry.at(decision.target).presence ==
      TargetPresence::gone) {
    this->health.onPacketForGone(decision.target, now);
  }
  if (this->board.healthState(decision.target) == HealthState::dead) {
    return this->decideForDead(packet, id, decision);
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
  SteeringDecision decision = this->refuse({}, SteeringReason::noRoute, now);
  const bool isOurs =
    packet.tag.bits != 0 &&
    this->board.tags.find(this->board.registry, packet.tag, packet.flow) !=
      kNoTargetSlot;
  const bool mayBeNew =
    isOurs && !this->unknownRoutes.isDropped(
                this->board, packet.flow.destination, id, now);
  if (mayBeNew) {
    decision.outcome = SteeringOutcome::hold;
  }
  return decision;
}

SteeringDecision
SteeringController::decideForDead(const CallerPacket& packet,
                                  FlowId id,
                                  SteeringDecision decision)
{
  const KnownTarget& target = this->board.registry.at(decision.target);
  const TrackedFlow* flow = this->board.observer.find(id);
  const bool isForGood = target.presence == TargetPresence::gone;
  // A request that can't be repeated and may have run keeps waiting for its
  // answer until the target is gone for good.
  const bool mayHaveRun = decision.route->kind == RouteKind::nonIdempotent &&
                          (flow == nullptr || flow->requested);
  if (packet.resets || packet.finishes || (mayHaveRun && !isForGood)) {
    decision.outcome = SteeringOutcome::forward;
    decision.reason = SteeringReason::tagged;
    return decision;
  }
  decision.outcome = SteeringOutcome::reset;
  decision.reason =
    isForGood ? SteeringReason::targetGone : SteeringReason::targetSilent;
  return decision;
}

SteeringDecision
SteeringController::refuse(SteeringDecision decision,
                           SteeringReason reason,
                           MilliTime now) const
{
  decision.reason = reason;
  decision.outcome =
    this->isFresh(now) ? SteeringOutcome::reset : SteeringOutcome::drop;
  return decision;
}

bool
SteeringController::isFresh(MilliTime now) const
{
  const MilliTime oldest =
    std::min(this->board.targetsConfirmedAt, this->board.routesConfirmedAt);
  return now - oldest <= internal::kFreshFor;
}

void
SteeringController::count(const SteeringDecision& decision)
{
  TagCounters& counters = this->board.counters;
  ++counters.decisions[static_cast<std::size_t>(decision.reason)];
  ++counters.outcomes[static_cast<std::size_t>(decision.outcome)];
}

}
