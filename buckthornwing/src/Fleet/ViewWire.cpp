#include "ViewWire.h"

#include "../Peer/CompactCodec.h"
#include "FleetCodec.h"

namespace buckthornwing {
namespace internal {

fleetwire::EventStamp
toWire(const EventStamp& stamp)
{
  fleetwire::EventStamp out;
  out.origin = static_cast<std::int32_t>(stamp.origin);
  out.at = stamp.at;
  return out;
}

EventStamp
fromWire(const fleetwire::EventStamp& in)
{
  return { static_cast<std::uint32_t>(in.origin), in.at };
}

fleetwire::Evacuations
toWire(const EvacuationList& list)
{
  fleetwire::Evacuations out;
  out.revision = static_cast<std::int64_t>(list.asOf.revision);
  out.era = static_cast<std::int64_t>(list.asOf.era);
  for (const Evacuation& evacuation : list.zones) {
    fleetwire::EvacuatedZone zone;
    zone.zone = evacuation.zone;
    zone.revision = static_cast<std::int64_t>(evacuation.version.revision);
    zone.era = static_cast<std::int64_t>(evacuation.version.era);
    out.zones.push_back(std::move(zone));
  }
  return out;
}

EvacuationList
fromWire(const fleetwire::Evacuations& in)
{
  EvacuationList out;
  out.asOf = { static_cast<StoreEra>(in.era),
               static_cast<std::uint64_t>(in.revision) };
  for (const fleetwire::EvacuatedZone& zone : in.zones) {
    out.zones.push_back({ zone.zone,
                          { static_cast<StoreEra>(zone.era),
                            static_cast<std::uint64_t>(zone.revision) } });
  }
  return out;
}

fleetwire::ViewVersions
toWire(const ViewVersions& view)
{
  fleetwire::ViewVersions out;
  out.targetsRevision = static_cast<std::int64_t>(view.targetsRevision);
  out.routesVersion = static_cast<std::int64_t>(view.routesVersion);
  out.routesRevision = static_cast<std::int64_t>(view.routesRevision);
  out.targetsAgeMs = toWireMs(view.targetsAge);
  out.routesAgeMs = toWireMs(view.routesAge);
  out.unwellAgoMs = toWireMs(view.sinceStoreFailure);
  out.targetsConfirmation = toWire(view.targetsConfirmation);
  out.routesConfirmation = toWire(view.routesConfirmation);
  out.storeFailure = toWire(view.storeFailure);
  if (view.targetsEra) {
    out.__set_targetsEra(static_cast<std::int64_t>(*view.targetsEra));
  }
  if (view.routesEra) {
    out.__set_routesEra(static_cast<std::int64_t>(*view.routesEra));
  }
  if (view.evacuations) {
    out.__set_evacuations(toWire(*view.evacuations));
  }
  return out;
}

ViewVersions
fromWire(const fleetwire::ViewVersions& in)
{
  ViewVersions out;
  out.targetsRevision = static_cast<std::uint64_t>(in.targetsRevision);
  out.routesVersion = static_cast<std::uint64_t>(in.routesVersion);
  out.routesRevision = static_cast<std::uint64_t>(in.routesRevision);
  out.targetsAge.ms = std::max(in.targetsAgeMs, 0);
  out.routesAge.ms = std::max(in.routesAgeMs, 0);
  out.sinceStoreFailure.ms = std::max(in.unwellAgoMs, 0);
  out.targetsConfirmation = fromWire(in.targetsConfirmation);
  out.routesConfirmation = fromWire(in.routesConfirmation);
  out.storeFailure = fromWire(in.storeFailure);
  if (in.__isset.targetsEra) {
    out.targetsEra = static_cast<StoreEra>(in.targetsEra);
  }
  if (in.__isset.routesEra) {
    out.routesEra = static_cast<StoreEra>(in.routesEra);
  }
  if (in.__isset.evacuations) {
    out.evacuations = fromWire(in.evacuations);
  }
  return out;
}

fleetwire::Target
toWire(const TargetChange& change)
{
  fleetwire::Target out;
  out.id = change.id;
  out.revision = static_cast<std::int64_t>(change.version.revision);
  out.kind = static_cast<std::int8_t>(change.kind);
  if (change.kind != ChangeKind::listed) {
    return out;
  }
  const TargetRecord& record = change.record;
  out.number = static_cast<std::int64_t>(record.number);
  out.address = formatEndpoint(record.address);
  out.zone = record.zone;
  for (const auto& [key, value] : record.labels) {
    fleetwire::Label label;
    label.key = key;
    label.value = value;
    out.labels.push_back(std::move(label));
  }
  out.slots = static_cast<std::int32_t>(record.slots);
  const TargetState state =
    change.awaitsRenewal ? TargetState::draining : record.state;
  out.state = static_cast<std::int8_t>(state);
  if (change.awaitsRenewal) {
    out.__set_awaitsRenewal(true);
  }
  out.slowForMs = toWireMs(record.remainingWarmup);
  out.incarnation = static_cast<std::int64_t>(record.incarnation);
  return out;
}

bool
fromWire(const fleetwire::Target& in, StoreEra era, TargetChange& out)
{
  if (in.kind < 0 || in.kind > static_cast<std::int8_t>(ChangeKind::gone)) {
    return false;
  }
  out.id = in.id;
  out.version = { era, static_cast<std::uint64_t>(in.revision) };
  out.kind = static_cast<ChangeKind>(in.kind);
  if (out.kind != ChangeKind::listed) {
    return true;
  }
  const auto address = parseEndpoint(in.address);
  const bool isKnownState =
    in.state >= 0 &&
    in.state <= static_cast<std::int8_t>(TargetState::draining);
  if (!address || !isKnownState || in.slots < 0) {
    return false;
  }
  out.record.id = in.id;
  out.record.number = static_cast<std::uint64_t>(in.number);
  out.record.address = *address;
  out.record.zone = in.zone;
  for (const fleetwire::Label& label : in.labels) {
    out.record.labels[label.key] = label.value;
  }
  out.record.slots = static_cast<std::uint32_t>(in.slots);
  out.awaitsRenewal = in.__isset.awaitsRenewal && in.awaitsRenewal;
  out.record.state = out.awaitsRenewal ? TargetState::serving
                                       : static_cast<TargetState>(in.state);
  out.record.remainingWarmup.ms = std::max(in.slowForMs, 0);
  out.record.incarnation = static_cast<std::uint64_t>(in.incarnation);
  return true;
}

fleetwire::Route
toWire(const Route& route)
{
  fleetwire::Route out;
  out.name = route.name;
  out.destination = formatEndpoint(route.destination);
  out.kind = static_cast<std::int8_t>(route.kind);
  out.timeoutMs = toWireMs(route.timeout);
  out.latencyObjectiveMs = toWireMs(route.latencyObjective);
  out.priority = static_cast<std::int32_t>(route.priority);
  for (const WeightedService& share : route.services) {
    fleetwire::Share wireShare;
    wireShare.slot = static_cast<std::int32_t>(share.service);
    wireShare.weight = static_cast<std::int32_t>(share.weight);
    out.services.push_back(wireShare);
  }
  return out;
}

bool
fromWire(const fleetwire::Route& in, std::size_t serviceCount, Route& out)
{
  const auto destination = parseEndpoint(in.destination);
  const bool isKnownKind =
    in.kind >= 0 && in.kind <= static_cast<std::int8_t>(RouteKind::download);
  if (!destination || !isKnownKind) {
    return false;
  }
  out.name = in.name;
  out.destination = *destination;
  out.kind = static_cast<RouteKind>(in.kind);
  out.timeout.ms = in.timeoutMs;
  out.latencyObjective.ms = in.latencyObjectiveMs;
  out.priority = static_cast<std::uint32_t>(in.priority);
  for (const fleetwire::Share& share : in.services) {
    const auto slot = static_cast<ServiceSlot>(share.slot);
    if (slot >= serviceCount || share.weight < 0) {
      return false;
    }
    out.services.push_back({ slot, static_cast<std::uint32_t>(share.weight) });
  }
  return true;
}

fleetwire::RouteChanges
toWire(const RouteChanges& changes)
{
  fleetwire::RouteChanges out;
  out.base = static_cast<std::int64_t>(changes.base);
  out.version = static_cast<std::int64_t>(changes.version);
  out.idleTimeoutMs = toWireMs(changes.idleTimeout);
  for (const SelectedService& service : changes.services) {
    fleetwire::Service wireService;
    wireService.name = service.name;
    wireService.selector = formatSelector(service.selector);
    wireService.healthPath = service.healthPath;
    if (service.warmupRate > 0) {
      wireService.__set_warmupRate(service.warmupRate);
    }
    out.services.push_back(std::move(wireService));
  }
  for (const Route& route : changes.routes) {
    out.routes.push_back(toWire(route));
  }
  for (const Endpoint& destination : changes.removed) {
    out.removed.push_back(formatEndpoint(destination));
  }
  return out;
}

bool
fromWire(const fleetwire::RouteChanges& in, RouteChanges& out)
{
  out.base = static_cast<std::uint64_t>(in.base);
  out.version = static_cast<std::uint64_t>(in.version);
  out.idleTimeout.ms = in.idleTimeoutMs;
  for (const fleetwire::Service& service : in.services) {
    auto parsed = parseSelector(service.selector);
    auto* selector = std::get_if<Selector>(&parsed);
    if (selector == nullptr) {
      return false;
    }
    const double warmupRate =
      service.__isset.warmupRate ? service.warmupRate : 0;
    out.services.push_back({ service.name,
                             std::move(*selector),
                             service.healthPath,
                             plausibleWarmupRate(warmupRate) });
  }
  for (const fleetwire::Route& route : in.routes) {
    Route parsed;
    if (!fromWire(route, out.services.size(), parsed)) {
      return false;
    }
    out.routes.push_back(std::move(parsed));
  }
  for (const std::string& text : in.removed) {
    const auto destination = parseEndpoint(text);
    if (!destination) {
      return false;
    }
    out.removed.push_back(*destination);
  }
  return true;
}

}

std::string
encodeViewUpdate(const ViewUpdate& update)
{
  fleetwire::ViewUpdate out;
  out.view = internal::toWire(update.view);
  out.targetsBase = static_cast<std::int64_t>(update.targetsBase);
  out.isFull = update.isFull;
  if (update.unchangedDigest) {
    out.__set_unchangedDigest(
      static_cast<std::int64_t>(*update.unchangedDigest));
  }
  for (const TargetChange& change : update.targets) {
    out.targets.push_back(internal::toWire(change));
  }
  if (update.routes) {
    out.__set_routes(internal::toWire(*update.routes));
  }
  return internal::encodeCompact(out);
}

std::optional<ViewUpdate>
decodeViewUpdate(std::span<const std::uint8_t> bytes)
{
  fleetwire::ViewUpdate in;
  if (!internal::decodeCompact(bytes, in)) {
    return std::nullopt;
  }
  ViewUpdate out;
  out.view = internal::fromWire(in.view);
  out.targetsBase = static_cast<std::uint64_t>(in.targetsBase);
  out.isFull = in.isFull;
  if (in.__isset.unchangedDigest) {
    out.unchangedDigest = static_cast<std::uint64_t>(in.unchangedDigest);
  }
  for (const fleetwire::Target& target : in.targets) {
    TargetChange change;
    if (!internal::fromWire(target, out.view.targetsEra.value_or(0), change)) {
      return std::nullopt;
    }
    out.targets.push_back(std::move(change));
  }
  if (in.__isset.routes &&
      !internal::fromWire(in.routes, out.routes.emplace())) {
    return std::nullopt;
  }
  return out;
}

}
