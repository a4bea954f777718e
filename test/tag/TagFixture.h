#ifndef BUCKTHORNWING_TEST_TAG_FIXTURE_H
#define BUCKTHORNWING_TEST_TAG_FIXTURE_H

#include <Fleet>
#include <Steering>

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace buckthornwing::test {

/// \returns two routes at 203.0.113.1: port 443 to the service "booking", which
/// is idempotent, and port 8443 to "sheets", which is not.
inline RouteTable
twoRoutes(std::uint64_t version)
{
  RouteTable table;
  table.version = version;
  for (const char* name : { "booking", "sheets" }) {
    SelectedService service;
    service.name = name;
    service.selector.requirements.push_back(
      { "service", SelectorOperator::in, { name } });
    service.healthPath = "/health";
    table.services.push_back(std::move(service));
  }
  Route booking;
  booking.name = "booking";
  booking.destination = *parseEndpoint("203.0.113.1:443");
  booking.latencyObjective = MilliDuration{ 250 };
  booking.timeout = MilliDuration{ 3000 };
  booking.services = { { 0, 1 } };
  Route sheets = booking;
  sheets.name = "sheets";
  sheets.destination.port = 8443;
  sheets.kind = RouteKind::nonIdempotent;
  sheets.services = { { 1, 1 } };
  table.routes = { booking, sheets };
  return table;
}

/// \returns the routes of twoRoutes() and \a count more of the service
/// "booking".
inline RouteTable
manyRoutes(std::uint64_t version, std::size_t count)
{
  RouteTable table = twoRoutes(version);
  for (std::size_t i = 0; i < count; ++i) {
    Route route = table.routes[0];
    route.name = "r-" + std::to_string(i);
    route.destination.address.bytes[14] = static_cast<std::uint8_t>(i / 250);
    route.destination.address.bytes[15] =
      static_cast<std::uint8_t>(2 + i % 250);
    table.routes.push_back(route);
  }
  return table;
}

/// \returns the registry entry of the target with a number.
inline TargetChange
listed(std::uint64_t number,
       std::uint64_t revision,
       const std::string& service = "booking",
       const std::string& zone = "a",
       TargetState state = TargetState::serving)
{
  TargetChange change;
  change.id = "t-" + std::to_string(number);
  change.version = { 0, revision };
  change.kind = ChangeKind::listed;
  change.record.id = change.id;
  change.record.number = number;
  change.record.address =
    *parseEndpoint("10.0.0." + std::to_string(number % 250 + 1) + ":9000");
  change.record.zone = zone;
  change.record.labels = { { "service", service }, { "zone", zone } };
  change.record.slots = 3;
  change.record.state = state;
  return change;
}

/// \returns another writer's entry with a target's number, at an address where
/// nothing listens.
inline TargetChange
oddEntry(std::uint64_t number, std::uint64_t revision)
{
  TargetChange change = listed(number, revision);
  change.id = "x-" + std::to_string(number);
  change.record.id = change.id;
  change.record.address = *parseEndpoint("10.0.9.9:9");
  return change;
}

/// \returns the removal of a target from the registry.
inline TargetChange
gone(std::uint64_t number, std::uint64_t revision)
{
  TargetChange change;
  change.id = "t-" + std::to_string(number);
  change.version = { 0, revision };
  return change;
}

/// \returns the key of a flow, which is unique for each caller number.
inline FlowKey
flowOf(unsigned client, const char* destination = "203.0.113.1:443")
{
  const std::string text = "tcp 198.51.100." + std::to_string(client % 250) +
                           ":" + std::to_string(1024 + client) + " " +
                           destination;
  return *parseFlowKey(text);
}

/// \returns the first packet of a flow, or a copy of it.
inline CallerPacket
opening(const FlowKey& flow, std::uint32_t copy = 0)
{
  CallerPacket packet;
  packet.flow = flow;
  packet.isOpening = true;
  packet.openingCopyIndex = copy;
  packet.sequence = 1000;
  return packet;
}

inline const std::vector<std::uint8_t> kRequestBytes(100, 'r');

/// \returns a packet of an open flow with some bytes of payload.
inline CallerPacket
flowPacket(const FlowKey& flow,
           FlowTag tag,
           std::uint32_t sequence,
           std::uint32_t acknowledged,
           std::size_t bytes = 0)
{
  CallerPacket packet;
  packet.flow = flow;
  packet.tag = tag;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.payload = std::span(kRequestBytes).first(bytes);
  return packet;
}

/// \returns a position in the store's history.
constexpr StorePosition
positionAt(std::uint64_t revision, StoreEra era = 0)
{
  return { era, revision };
}

/// \brief Time from the request of routes until a confirmation arrives.
inline constexpr MilliDuration kReadTime{ 1000 };

/// \brief Passes a full list of targets to an engine.
inline void
listTargets(TagEngine& engine,
            std::uint64_t asOf,
            std::span<const TargetChange> listed,
            MilliTime now)
{
  engine.onTargetListing({ positionAt(asOf), listed }, now, now);
}

/// \brief Passes changes of targets to an engine, which continue from its
/// present position.
inline void
changeTargets(TagEngine& engine,
              std::uint64_t asOf,
              std::span<const TargetChange> changes,
              MilliTime now)
{
  const StorePosition base = engine.board().registry.position();
  cr_assert(engine.onTargetChanges(
    { base, positionAt(asOf, base.era), changes }, now, now));
}

/// \brief Passes a configuration to an engine. Its version is also the revision
/// at which it was written; no zone is evacuated then.
/// \param readAt when it was requested from the store
inline void
publishRoutes(TagEngine& engine,
              RouteTable table,
              MilliTime readAt,
              MilliTime now)
{
  const StorePosition asOf = positionAt(table.version);
  engine.onEvacuationListing({ asOf, {} }, now);
  engine.onRoutes({ { std::move(table) }, asOf }, readAt, now);
}

/// \brief The same, with a store that answers at once.
inline void
publishRoutes(TagEngine& engine, RouteTable table, MilliTime now)
{
  publishRoutes(engine, std::move(table), now, now);
}

/// \brief Lets the store confirm the present targets, routes and evacuations of
/// an engine. The routes were requested kReadTime before.
inline void
confirmView(TagEngine& engine, MilliTime now)
{
  const StorePosition position = engine.board().registry.position();
  engine.onTargetChanges({ position, position, {} }, now, now);
  std::vector<EvacuationChange> held;
  for (const Evacuation& evacuation : engine.board().evacuations.zones()) {
    held.push_back({ evacuation.zone, evacuation.version });
  }
  engine.onEvacuationListing({ position, held }, now);
  engine.onRoutes({ {}, position }, now - kReadTime, now);
}

/// \brief One engine with a loaded view and a clock that the test advances.
struct EngineFixture
{
  MilliTime now{ 100000 };
  TagEngine engine;

  explicit EngineFixture(std::uint64_t targets = 4,
                         TagPolicySettings policy = {},
                         const std::string& id = "entry-1",
                         std::uint64_t seed = 1)
    : engine(settings(policy, id, seed))
  {
    std::vector<TargetChange> changes;
    for (std::uint64_t i = 1; i <= targets; ++i) {
      changes.push_back(listed(i, i));
    }
    changes.push_back(listed(100, 100, "sheets"));
    publishRoutes(this->engine, twoRoutes(1), this->now - kReadTime, this->now);
    listTargets(this->engine, 100, changes, this->now);
  }

  static TagSettings settings(TagPolicySettings policy,
                              const std::string& id,
                              std::uint64_t seed)
  {
    TagSettings settings;
    settings.id = id;
    settings.zone = "a";
    settings.advertisedAddress = *parseEndpoint("127.0.0.1:7001");
    settings.tagSecret = 7;
    settings.seed = seed;
    settings.policy = policy;
    return settings;
  }

  /// \returns the engine's decision about a packet.
  SteeringDecision send(const CallerPacket& packet)
  {
    return this->engine.onPacket(packet, this->now);
  }

  /// \brief Opens a flow and completes the handshake.
  /// \returns the decision about the opening
  SteeringDecision open(const FlowKey& flow)
  {
    const SteeringDecision placed = this->send(opening(flow));
    this->send(flowPacket(flow, placed.tag, 1000, 1));
    return placed;
  }

  /// \brief Advances the clock tick by tick.
  /// \param confirmed whether the store confirms the view at each tick
  void run(MilliDuration span, bool confirmed = true)
  {
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->now = this->now + kTagTickPeriod;
      if (confirmed) {
        confirmView(this->engine, this->now);
      }
      this->engine.tick(this->now);
    }
  }

  /// \returns the id of the target that a decision chose.
  const std::string& idOf(const SteeringDecision& decision) const
  {
    return this->engine.board().registry.at(decision.target).record.id;
  }
};

}

#endif
