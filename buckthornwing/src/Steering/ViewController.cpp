#include "ViewController.h"

namespace buckthornwing {
namespace internal {

/// \brief Ignored keys that are remembered, so that each is logged once. No
/// further ones are logged.
constexpr std::size_t kMaxIgnoredKeys = 100;

std::vector<std::string>
namesOf(std::span<const Evacuation> evacuations)
{
  std::vector<std::string> names;
  names.reserve(evacuations.size());
  for (const Evacuation& evacuation : evacuations) {
    names.push_back(evacuation.zone);
  }
  return names;
}

}

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

void
ViewController::onRoutes(PublishedRoutes published, MilliTime now)
{
  bool isChanged = false;
  for (RouteTable& table : published.tables) {
    isChanged = this->board.routes.apply(std::move(table)) || isChanged;
  }
  if (published.asOf) {
    this->board.advanceRoutes(*published.asOf);
  }
  if (isChanged) {
    this->onNewRoutes(now);
  }
}

void
ViewController::onRouteChanges(const RouteChanges& changes,
                               const std::optional<StorePosition>& asOf,
                               MilliTime now)
{
  if (!this->board.routes.apply(changes)) {
    return;
  }
  if (asOf) {
    this->board.advanceRoutes(*asOf);
  }
  this->onNewRoutes(now);
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
ViewController::onEvacuationListing(const EvacuationListing& listing,
                                    MilliTime now)
{
  this->board.evacuations.applyListing(listing, now);
  this->onEvacuationsChanged();
}

bool
ViewController::onEvacuationDelta(const EvacuationDelta& delta, MilliTime now)
{
  if (!this->board.evacuations.applyDelta(delta, now)) {
    return false;
  }
  this->onEvacuationsChanged();
  return true;
}

void
ViewController::onPeerEvacuations(const EvacuationList& list, MilliTime now)
{
  this->board.evacuations.merge(list, now);
  this->onEvacuationsChanged();
}

void
ViewController::onEvacuationsChanged()
{
  const auto before = this->board.pools.zonesEvacuated();
  std::vector<std::string> zones =
    internal::namesOf(this->board.evacuations.zones());
  if (std::equal(before.begin(), before.end(), zones.begin(), zones.end())) {
    return;
  }
  const std::vector<std::string> previous(before.begin(), before.end());
  this->board.pools.setEvacuatedZones(std::move(zones));
  this->board.pools.rebuild(this->board.routes, this->board.registry);
  for (const std::string& zone : this->board.pools.zonesEvacuated()) {
    if (!std::binary_search(previous.begin(), previous.end(), zone)) {
      this->reportZone(TagEventKind::zoneEvacuated, zone);
    }
  }
  for (const std::string& zone : previous) {
    if (!this->board.pools.isEvacuated(zone)) {
      this->reportZone(TagEventKind::zoneReturned, zone);
    }
  }
}

void
ViewController::reportZone(TagEventKind kind, const std::string& zone)
{
  // An evacuation has the revision of its entry; its end has no entry.
  std::uint64_t revision =
    this->board.evacuations.position().value_or(StorePosition{}).revision;
  for (const Evacuation& evacuation : this->board.evacuations.zones()) {
    if (evacuation.zone == zone) {
      revision = evacuation.version.revision;
    }
  }
  std::size_t targets = 0;
  for (const KnownTarget& target : this->board.registry.targets()) {
    targets += target.takesNewFlows() && target.record.zone == zone ? 1 : 0;
  }
  this->board.events.push_back(
    { kind, zone, revision, 0, std::to_string(targets) + " targets" });
}

void
ViewController::onIgnoredEntry(std::string_view key)
{
  if (this->ignoredKeys.size() >= internal::kMaxIgnoredKeys) {
    return;
  }
  const auto [at, isNew] = this->ignoredKeys.emplace(key);
  if (!isNew) {
    return;
  }
  ++this->board.counters.ignoredEntries;
  this->board.events.push_back(
    { TagEventKind::entryIgnored, std::string(key), 0, 0, "names no zone" });
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
  this->board.evacuations.removeExpired(now);
  this->onEvacuationsChanged();
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
