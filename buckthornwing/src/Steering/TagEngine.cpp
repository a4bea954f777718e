#include "TagEngine.h"

#include <algorithm>
#include <utility>

namespace buckthornwing {
namespace internal {

/// \brief Longest gap between two ticks that is not logged as a pause of the
/// process.
constexpr MilliDuration kMaxTickGapWithoutEvent{ 1000 };
/// \brief Time between two removals of idle flows.
constexpr MilliDuration kSweepPeriod{ 1000 };
/// \brief Size from which an answer of the store is logged, because it occupies
/// a slow link noticeably.
constexpr std::size_t kMinLoggedAnswerBytes = 20000;

}

TagEngine::TagEngine(TagSettings settings)
  : state(std::move(settings))
  , view(this->state)
  , health(this->state)
  , admission(this->state)
  , steering(this->state, this->health, this->admission)
  , flowReset(this->state)
  , fleet(this->state, this->view)
  , slowStart(this->state)
{
}

SteeringDecision
TagEngine::onPacket(const CallerPacket& packet, MilliTime now)
{
  return this->steering.decide(packet, now);
}

SteeringDecision
TagEngine::onHeldPacket(const CallerPacket& packet, MilliTime now)
{
  return this->steering.decideHeld(packet, now);
}

void
TagEngine::onStoreContact()
{
  if (this->storeLost) {
    this->storeLost = false;
    this->state.events.push_back({ TagEventKind::storeRegained, {}, 0, 0, {} });
  }
}

void
TagEngine::onTargetListing(const TargetListing& listing,
                           MilliTime readAt,
                           MilliTime now)
{
  this->view.onListing(listing, now);
  this->onTargetsConfirmed(readAt, now);
}

bool
TagEngine::onTargetChanges(const TargetDelta& delta,
                           MilliTime readAt,
                           MilliTime now)
{
  if (!this->view.onDelta(delta, now)) {
    return false;
  }
  this->onTargetsConfirmed(readAt, now);
  return true;
}

void
TagEngine::onTargetsConfirmed(MilliTime readAt, MilliTime now)
{
  this->onStoreContact();
  this->state.targetsConfirmedAt = now;
  this->state.targetsConfirmation = this->state.stampEvent(now);
  this->state.targetsCompleteAt =
    std::max(this->state.targetsCompleteAt, readAt);
  this->fleet.pushView(now);
  this->fleet.announceConfirmation(now);
}

void
TagEngine::onRoutes(PublishedRoutes published, MilliTime readAt, MilliTime now)
{
  const std::optional<StorePosition> asOf = published.asOf;
  this->onStoreContact();
  this->view.onRoutes(std::move(published), now);
  if (asOf) {
    this->onRoutesConfirmed(*asOf, readAt, now);
  }
  this->fleet.pushView(now);
  if (asOf) {
    this->fleet.announceConfirmation(now);
  }
}

void
TagEngine::onRoutesConfirmed(const StorePosition& asOf,
                             MilliTime readAt,
                             MilliTime now)
{
  this->state.routesCompleteAt = std::max(this->state.routesCompleteAt, readAt);
  this->state.routesConfirmedAt = now;
  this->state.routesConfirmation = this->state.stampEvent(now);
  if (this->state.evacuations.position() >= asOf) {
    this->state.evacuationsConfirmedAt = now;
  }
}

void
TagEngine::onEvacuationListing(const EvacuationListing& listing, MilliTime now)
{
  this->view.onEvacuationListing(listing, now);
}

bool
TagEngine::onEvacuationChanges(const EvacuationDelta& delta, MilliTime now)
{
  return this->view.onEvacuationDelta(delta, now);
}

std::optional<StoreEra>
TagEngine::onStoreEra(std::optional<StoreEra> named)
{
  if (!named) {
    return this->state.knownEra();
  }
  if (*named < this->state.knownEra()) {
    ++this->state.counters.outdatedAnswers;
    this->state.events.push_back({ TagEventKind::storeAnswerOutdated,
                                   {},
                                   0,
                                   0,
                                   "era " + std::to_string(*named) +
                                     " after era " +
                                     std::to_string(this->state.knownEra()) });
    return std::nullopt;
  }
  this->state.storeEra = named;
  return named;
}

void
TagEngine::onStoreResponse(std::string_view keys,
                           std::size_t bytes,
                           MilliDuration took)
{
  if (bytes >= internal::kMinLoggedAnswerBytes) {
    this->state.events.push_back({ TagEventKind::storeRead,
                                   std::string(keys),
                                   0,
                                   took.ms,
                                   std::to_string(bytes) + " bytes" });
  }
}

void
TagEngine::onStoreFailure(const std::string& cause, MilliTime now)
{
  this->state.registry.recordStoreFailure(now);
  this->state.storeFailure = this->state.stampEvent(now);
  if (!this->storeLost) {
    this->storeLost = true;
    this->state.events.push_back({ TagEventKind::storeLost, {}, 0, 0, cause });
  }
}

void
TagEngine::tick(MilliTime now)
{
  const MilliDuration gap = now - this->lastTick;
  if (this->lastTick.ms != 0 && gap > internal::kMaxTickGapWithoutEvent) {
    this->state.events.push_back({ TagEventKind::paused, {}, 0, gap.ms, {} });
  }
  this->state.lastTickGap = gap;
  this->lastTick = now;
  this->view.tick(now);
  this->fleet.tick(now);
  this->slowStart.tick(now);
  this->admission.tick(now);
  this->health.tick(now);
  if (now - this->lastSweep >= internal::kSweepPeriod) {
    this->lastSweep = now;
    this->state.observer.sweep(now, this->state.settings.flowIdle);
  }
}

void
TagEngine::onFleetMessage(const FleetMessage& message, MilliTime now)
{
  this->fleet.onMessage(message, now);
  for (const ShortTargetKey target : this->fleet.takeTargetsFoundDead()) {
    const TargetSlot slot = this->state.registry.find(target);
    if (slot != kNoTargetSlot) {
      this->health.onPeerFoundDead(slot, now);
    }
  }
}

void
TagEngine::requestStop()
{
  this->state.stopping = true;
  this->fleet.setStopping();
}

void
TagEngine::onProbeResult(TargetSlot target, ProbeResult result, MilliTime now)
{
  this->health.onProbeResult(target, result, now);
  if (result == ProbeResult::alive) {
    this->view.onAnswer(target, now);
  }
}

void
TagEngine::onLateConnection(TargetSlot target, MilliTime now)
{
  this->health.onLateConnection(target, now);
}

void
TagEngine::onLateResult(TargetSlot target, ProbeResult result, MilliTime now)
{
  this->health.onLateResult(target, result, now);
}

std::string
TagEngine::healthPathOf(TargetSlot target) const
{
  const Labels& labels = this->state.registry.at(target).record.labels;
  for (const SelectedService& service : this->state.routes.routes().services) {
    if (!service.healthPath.empty() && matches(service.selector, labels)) {
      return service.healthPath;
    }
  }
  return "/";
}

std::vector<FlowToReset>
TagEngine::takeFlowsToReset()
{
  std::vector<FlowToReset> toReset;
  const auto dead = this->health.takeDead();
  if (!this->state.settings.policy.resetsDeadFlows) {
    return toReset;
  }
  for (const TargetSlot target : dead) {
    const auto flows = this->flowReset.resetFlowsOf(target);
    toReset.insert(toReset.end(), flows.begin(), flows.end());
  }
  return toReset;
}

std::vector<OutgoingFleetMessage>
TagEngine::takeOutgoing()
{
  return this->fleet.takeOutgoing();
}

std::vector<TagEvent>
TagEngine::takeEvents()
{
  return std::exchange(this->state.events, {});
}

}
