#include "ViewController.h"

namespace buckthornwing {

bool
ViewController::onDelta(const TargetDelta& delta, MilliTime now)
{
  const auto slots = this->board.registry.applyDelta(delta, now);
  if (!slots) {
    return false;
  }
  this->countUnreadable(delta.changes);
  this->onChanged(*slots, now);
  return true;
}

void
ViewController::onListing(const TargetListing& listing, MilliTime now)
{
  this->countUnreadable(listing.listed);
  TargetRegistry& registry = this->board.registry;
  const bool isFirst = !registry.loaded();
  const StorePosition before = registry.position();
  const bool isNewEra = !isFirst && listing.asOf.era > before.era;
  if (isNewEra) {
    // Registrations that the store has lost are kept as after a failure.
    registry.recordStoreFailure(now);
    this->board.storeFailure = this->board.stampEvent(now);
  }
  const auto slots = registry.applyListing(listing, now);
  if (isNewEra) {
    this->reportEra(before, now);
  }
  if (!isFirst) {
    this->onChanged(slots, now);
    return;
  }
  // The first list is reported by one event instead of one for each target.
  const std::size_t eventsBefore = this->board.events.size();
  this->onChanged(slots, now);
  this->board.events.resize(eventsBefore);
  this->board.events.push_back(
    { TagEventKind::registryLoaded,
      {},
      listing.asOf.revision,
      0,
      std::to_string(listing.listed.size()) + " targets" });
}

void
ViewController::reportEra(const StorePosition& before, MilliTime now)
{
  std::size_t lapsed = 0;
  std::size_t awaiting = 0;
  for (const KnownTarget& target : this->board.registry.targets()) {
    const bool hasJustLapsed = target.used && target.changedAt == now &&
                               target.presence == TargetPresence::lapsed;
    lapsed += hasJustLapsed ? 1 : 0;
    awaiting += target.used && target.awaitsRenewal ? 1 : 0;
  }
  const StorePosition after = this->board.registry.position();
  ++this->board.counters.storeEraChanges;
  this->board.events.push_back(
    { TagEventKind::storeEra,
      {},
      after.revision,
      0,
      formatStorePosition(before) + " to " + formatStorePosition(after) + ", " +
        std::to_string(lapsed) + " missing, " + std::to_string(awaiting) +
        " await renewal" });
}

void
ViewController::countUnreadable(std::span<const TargetChange> changes)
{
  for (const TargetChange& change : changes) {
    const bool isUnreadable = change.kind == ChangeKind::unreadable;
    this->board.counters.unreadableEntries += isUnreadable ? 1 : 0;
  }
}

bool
ViewController::onRoutes(RouteTable table, MilliTime now)
{
  if (!this->board.routes.apply(std::move(table))) {
    return false;
  }
  this->onNewRoutes(now);
  return true;
}

bool
ViewController::onRouteChanges(const RouteChanges& changes, MilliTime now)
{
  if (!this->board.routes.apply(changes)) {
    return false;
  }
  this->onNewRoutes(now);
  return true;
}

void
ViewController::onNewRoutes(MilliTime now)
{
  const RouteTable& applied = this->board.routes.routes();
  this->board.pools.rebuild(this->board.routes, this->board.registry);
  this->board.events.push_back(
    { TagEventKind::routes,
      {},
      applied.version,
      viewAge(this->board.routesConfirmedAt, now).value_or(MilliDuration{}).ms,
      std::to_string(applied.routes.size()) + " routes, " +
        std::to_string(applied.skipped) + " skipped" });
}

void
ViewController::onAnswer(TargetSlot slot, MilliTime now)
{
  if (this->board.registry.onAnswer(slot)) {
    this->onChanged(std::span(&slot, 1), now);
  }
}

void
ViewController::tick(MilliTime now)
{
  const auto slots =
    this->board.registry.tick(this->board.targetsCompleteAt, now);
  this->onChanged(slots, now);
}

void
ViewController::onChanged(std::span<const TargetSlot> slots, MilliTime /*now*/)
{
  if (slots.empty()) {
    return;
  }
  for (const TargetSlot slot : slots) {
    this->board.pools.update(this->board.routes, this->board.registry, slot);
    this->report(slot);
  }
  this->board.tags.rebuild(this->board.registry);
}

void
ViewController::report(TargetSlot slot)
{
  const KnownTarget& target = this->board.registry.at(slot);
  if (!target.used) {
    this->board.observer.forgetTarget(slot);
    this->board.healthFor(slot) = TargetHealth{};
    return;
  }
  if (target.presence == TargetPresence::gone) {
    this->board.observer.forgetSpeed(slot);
  } else {
    this->board.observer.onTargetListed(
      slot, slotsOf(target.record), target.record.incarnation);
  }
  if (target.presence == TargetPresence::listed) {
    // The target registered again: if it was found dead, probe it at once.
    this->board.healthFor(slot).nextProbeAt = MilliTime{};
  }
  TagEventKind kind = TagEventKind::targetListed;
  if (target.presence == TargetPresence::gone) {
    kind = TagEventKind::targetGone;
  } else if (target.presence == TargetPresence::lapsed) {
    kind = TagEventKind::targetLapsed;
  } else if (target.wasDraining ||
             target.record.state == TargetState::draining) {
    kind = TagEventKind::targetDraining;
  }
  const auto service = target.record.labels.find("service");
  const std::string note =
    service == target.record.labels.end() ? std::string() : service->second;
  this->board.events.push_back(
    { kind, target.record.id, target.version.revision, 0, note });
}

}
