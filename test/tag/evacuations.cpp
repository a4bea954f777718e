/// \file
/// \brief Tests of the evacuation of zones: the rules for lists, placement
/// while zones are evacuated, and the exchange of lists between instances.

#include "FleetWorld.h"

#include <algorithm>
#include <set>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr MilliTime kNow{ 100000 };

EvacuationChange
evacuated(const std::string& zone, std::uint64_t revision, StoreEra era = 0)
{
  return { zone, { era, revision }, false };
}

EvacuationChange
withdrawn(const std::string& zone, std::uint64_t revision)
{
  return { zone, { 0, revision }, true };
}

void
list(Evacuations& evacuations,
     const StorePosition& asOf,
     const std::vector<EvacuationChange>& listed,
     MilliTime now = kNow)
{
  evacuations.applyListing({ asOf, listed }, now);
}

bool
change(Evacuations& evacuations,
       const StorePosition& base,
       const StorePosition& asOf,
       const std::vector<EvacuationChange>& changes)
{
  return evacuations.applyDelta({ base, asOf, changes }, kNow);
}

/// \returns whether an evacuation of a zone is left after the expired ones were
/// removed. Works on a copy.
bool
isInForce(Evacuations evacuations, const std::string& zone, MilliTime now)
{
  evacuations.removeExpired(now);
  const auto zones = evacuations.zones();
  return std::any_of(
    zones.begin(), zones.end(), [&](const Evacuation& evacuation) {
      return evacuation.zone == zone;
    });
}

/// \brief Lets an engine read the complete list of evacuations.
void
evacuate(TagEngine& engine,
         std::uint64_t asOf,
         const std::vector<EvacuationChange>& listed,
         MilliTime now)
{
  engine.onEvacuationListing({ positionAt(asOf), listed }, now);
  engine.onRoutes({ {}, positionAt(asOf) }, now, now);
}

/// \brief An engine in zone "a" with two targets in each of the zones a, b and
/// c.
struct ThreeZones : EngineFixture
{
  ThreeZones()
    : EngineFixture(0)
  {
    std::vector<TargetChange> targets;
    for (std::uint64_t i = 1; i <= 6; ++i) {
      const std::string zone(1, "abc"[i % 3]);
      targets.push_back(listed(i, 100 + i, "booking", zone));
    }
    listTargets(this->engine, 110, targets, this->now);
  }

  void evacuate(std::uint64_t asOf, const std::vector<EvacuationChange>& zones)
  {
    ::evacuate(this->engine, asOf, zones, this->now);
  }

  const std::string& zoneOf(const SteeringDecision& decision) const
  {
    return this->engine.board().registry.at(decision.target).record.zone;
  }

  /// \returns the zones of the targets of some new flows.
  std::set<std::string> zonesOfNewFlows(unsigned firstCaller)
  {
    std::set<std::string> zones;
    for (unsigned caller = firstCaller; caller < firstCaller + 30; ++caller) {
      const SteeringDecision placed = this->open(flowOf(caller));
      cr_assert(placed.outcome == SteeringOutcome::forward);
      zones.insert(this->zoneOf(placed));
    }
    return zones;
  }
};

/// \returns a heartbeat of an instance in another zone.
FleetMessage
heartbeatWith(const std::optional<EvacuationList>& list)
{
  FleetMessage message = messageOfStranger("entry-9", "b");
  FleetHeartbeat heartbeat;
  heartbeat.view.routesVersion = 1;
  heartbeat.view.routesRevision = 500;
  heartbeat.view.routesEra = 0;
  heartbeat.view.evacuations = list;
  message.body = heartbeat;
  return message;
}

}

Test(evacuations, a_listing_without_an_entry_ends_it)
{
  Evacuations evacuations;
  list(evacuations, positionAt(10), { evacuated("a", 4), evacuated("b", 9) });
  list(evacuations, positionAt(20), { evacuated("b", 9) });
  cr_assert_not(isInForce(evacuations, "a", kNow));
  cr_assert(isInForce(evacuations, "b", kNow));
  // An earlier listing, which was under way for long, changes nothing.
  list(evacuations, positionAt(10), { evacuated("a", 4) });
  cr_assert_not(isInForce(evacuations, "a", kNow));
}

/// Guards against pages that are no snapshot: an entry that is newer than the
/// listing's position must survive an older list.
Test(evacuations, an_entry_after_a_list_s_position_is_not_ended_by_it)
{
  Evacuations evacuations;
  list(evacuations, positionAt(10), { evacuated("a", 13) });
  list(evacuations, positionAt(11), {});
  cr_assert(isInForce(evacuations, "a", kNow));
  cr_assert(change(
    evacuations, positionAt(11), positionAt(12), { withdrawn("a", 12) }));
  cr_assert(isInForce(evacuations, "a", kNow));
  cr_assert(change(
    evacuations, positionAt(12), positionAt(14), { withdrawn("a", 14) }));
  cr_assert_not(isInForce(evacuations, "a", kNow));
}

Test(evacuations, changes_must_continue_from_the_position)
{
  Evacuations evacuations;
  cr_assert_not(
    change(evacuations, positionAt(1), positionAt(2), { evacuated("a", 2) }));
  cr_assert_not(evacuations.loaded());
  list(evacuations, positionAt(10), {});
  cr_assert_not(change(
    evacuations, positionAt(12), positionAt(13), { evacuated("a", 13) }));
  cr_assert_not(change(
    evacuations, positionAt(10), positionAt(13, 1), { evacuated("a", 13) }));
  cr_assert(
    change(evacuations, positionAt(8), positionAt(13), { evacuated("a", 13) }));
  // Changes that were known already are not applied again.
  cr_assert(
    change(evacuations, positionAt(8), positionAt(12), { withdrawn("a", 9) }));
  cr_assert(isInForce(evacuations, "a", kNow));
  cr_assert(evacuations.position() == std::optional(positionAt(13)));
}

Test(evacuations, a_rewritten_entry_stays_in_force_with_its_new_version)
{
  ThreeZones world;
  world.evacuate(200, { evacuated("a", 200) });
  world.engine.takeEvents();
  world.evacuate(201, { evacuated("a", 201) });
  cr_assert(world.engine.takeEvents().empty());
  cr_assert_eq(world.engine.board().evacuations.zones()[0].version.revision,
               201);
}

Test(evacuations, a_peers_list_counts_only_at_a_later_position)
{
  Evacuations evacuations;
  list(evacuations, positionAt(10), { evacuated("a", 4) });
  evacuations.merge({ positionAt(10), {} }, kNow);
  evacuations.merge({ positionAt(9), {} }, kNow);
  cr_assert(isInForce(evacuations, "a", kNow));
  evacuations.merge({ positionAt(11), { { "b", { 0, 11 } } } }, kNow);
  cr_assert_not(isInForce(evacuations, "a", kNow));
  cr_assert(isInForce(evacuations, "b", kNow));
  evacuations.merge({ positionAt(2, 1), { { "c", { 1, 2 } } } }, kNow);
  cr_assert(isInForce(evacuations, "c", kNow));
}

/// The store comes back from a copy that lacks an evacuation: the operator has
/// not withdrawn it, and has some time to write it again.
Test(evacuations, one_that_an_older_copy_lacks_ends_after_a_limited_time)
{
  Evacuations evacuations;
  list(evacuations, positionAt(20), { evacuated("a", 12), evacuated("b", 9) });
  list(evacuations, positionAt(10, 1), { evacuated("b", 9, 1) });
  const MilliTime soon = kNow + MilliDuration{ kLostEvacuationLifetime.ms - 1 };
  cr_assert(isInForce(evacuations, "a", soon));
  // Further lists of this era neither end it nor prolong it.
  list(evacuations, positionAt(14, 1), { evacuated("b", 9, 1) }, soon);
  cr_assert(isInForce(evacuations, "a", soon));
  cr_assert_not(isInForce(evacuations, "a", kNow + kLostEvacuationLifetime));
  evacuations.removeExpired(kNow + kLostEvacuationLifetime);
  cr_assert_eq(evacuations.zones().size(), 1);
  cr_assert(isInForce(evacuations, "b", kNow + kLostEvacuationLifetime));
  // A peer that still has it does not bring it back.
  evacuations.merge({ positionAt(15, 1), { { "a", { 0, 12 } } } },
                    kNow + kLostEvacuationLifetime);
  cr_assert(evacuations.zones().empty());
}

/// Guards against names of other writers or damaged messages that make each
/// heartbeat large.
Test(evacuations, odd_and_excessive_lists_are_bounded)
{
  Evacuations evacuations;
  EvacuationList peers{ positionAt(1000), {} };
  peers.zones.push_back({ "", { 0, 900 } });
  peers.zones.push_back(
    { std::string(kMaxZoneNameBytes + 1, 'z'), { 0, 901 } });
  for (std::uint64_t i = 0; i < 500; ++i) {
    peers.zones.push_back({ "z" + std::to_string(999 - i), { 0, i } });
  }
  peers.zones.push_back({ "real", { 0, 950 } });
  evacuations.merge(peers, kNow);
  cr_assert_eq(evacuations.zones().size(), Evacuations::kMaxZones);
  cr_assert(isInForce(evacuations, "real", kNow));
  cr_assert(isInForce(evacuations, "z500", kNow));
  cr_assert(std::is_sorted(evacuations.zones().begin(),
                           evacuations.zones().end(),
                           [](const auto& left, const auto& right) {
                             return left.zone < right.zone;
                           }));
}

Test(evacuations, the_callers_of_the_own_zone_go_to_the_others_and_back)
{
  ThreeZones world;
  const SteeringDecision early = world.open(flowOf(1));
  cr_assert_eq(world.zoneOf(early), "a");
  const SteeringDecision opened = world.send(opening(flowOf(2)));
  world.evacuate(200, { evacuated("a", 200) });
  cr_assert(world.zonesOfNewFlows(10) == std::set<std::string>({ "b", "c" }));
  // Open flows stay, and copies of an opening follow the first one.
  const SteeringDecision data =
    world.send(flowPacket(flowOf(1), early.tag, 1000, 1, 100));
  cr_assert(data.outcome == SteeringOutcome::forward);
  cr_assert_eq(data.target, early.target);
  const SteeringDecision copy = world.send(opening(flowOf(2), 1));
  cr_assert(copy.reason == SteeringReason::openingCopy);
  cr_assert_eq(copy.target, opened.target);
  world.evacuate(201, {});
  cr_assert(world.zonesOfNewFlows(100).contains("a"));
}

/// Guards against an exclusion that holds only for the targets of that moment.
Test(evacuations, targets_that_appear_in_an_evacuated_zone_take_no_flows)
{
  ThreeZones world;
  world.evacuate(200, { evacuated("a", 200) });
  const TargetChange added = listed(50, 201, "booking", "a");
  changeTargets(world.engine, 201, std::span(&added, 1), world.now);
  cr_assert_not(world.zonesOfNewFlows(10).contains("a"));
  publishRoutes(world.engine, twoRoutes(2), world.now);
  cr_assert_not(world.zonesOfNewFlows(100).contains("a"));
}

Test(evacuations, with_all_zones_evacuated_openings_are_refused_at_once)
{
  ThreeZones world;
  world.evacuate(200,
                 { evacuated("a", 198),
                   evacuated("b", 199),
                   evacuated("c", 200),
                   evacuated("unknown/zone", 200) });
  const SteeringDecision refused = world.send(opening(flowOf(1)));
  cr_assert(refused.outcome == SteeringOutcome::reset);
  cr_assert(refused.reason == SteeringReason::evacuated);
  world.evacuate(201, { evacuated("a", 198), evacuated("c", 200) });
  cr_assert(world.zonesOfNewFlows(10) == std::set<std::string>({ "b" }));
}

Test(evacuations, each_change_is_logged_once)
{
  ThreeZones world;
  world.engine.takeEvents();
  world.evacuate(200, { evacuated("b", 199), evacuated("x", 200) });
  world.run(1_s);
  world.evacuate(300, { evacuated("x", 200) });
  world.run(1_s);
  std::vector<std::string> seen;
  for (const TagEvent& event : world.engine.takeEvents()) {
    if (event.kind == TagEventKind::zoneEvacuated ||
        event.kind == TagEventKind::zoneReturned) {
      seen.push_back(std::string(tagEventName(event.kind)) + " " +
                     event.subject + " " + std::to_string(event.revision) +
                     " " + event.note);
    }
  }
  const std::vector<std::string> expected{ "zone_evacuated b 199 2 targets",
                                           "zone_evacuated x 200 0 targets",
                                           "zone_returned b 300 2 targets" };
  cr_assert(seen == expected);
}

/// A key of another writer, whose 100th byte is amid a character: the log line
/// must stay valid UTF-8.
Test(evacuations, an_ignored_key_is_logged_whole)
{
  EngineFixture world;
  world.engine.takeEvents();
  std::string key = "op/evacuate/";
  for (int i = 0; i < 62; ++i) {
    key += "\u4e2d";
  }
  world.engine.onIgnoredEntry(key);
  const std::vector<TagEvent> events = world.engine.takeEvents();
  cr_assert_eq(events.size(), 1);
  cr_assert_eq(events[0].subject, key);
}

/// Guards against probes of targets that no flow of this instance needs.
Test(evacuations, suspected_targets_without_flows_are_not_probed)
{
  ThreeZones world;
  const SteeringDecision opened = world.send(opening(flowOf(1)));
  world.evacuate(200, { evacuated("a", 200) });
  world.send(opening(flowOf(1), 1));
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  world.engine.onProbeResult(opened.target, ProbeResult::silent, world.now);
  CallerPacket reset = flowPacket(flowOf(1), opened.tag, 1001, 0);
  reset.isReset = true;
  world.send(reset);
  world.engine.takeProbes();
  world.run(5_s);
  cr_assert(world.engine.takeProbes().empty());
  world.evacuate(201, {});
  world.run(1_s);
  cr_assert(!world.engine.takeProbes().empty());
}

/// Load: a target goes down and up by turns while its zone is evacuated, and
/// routers move its flows between instances. One that found it dead before must
/// not reset flows that others opened since.
Test(evacuations, a_target_that_is_alive_again_keeps_its_flows)
{
  ThreeZones world;
  const SteeringDecision opened = world.send(opening(flowOf(1)));
  world.evacuate(200, { evacuated("a", 200) });
  world.send(opening(flowOf(1), 1));
  world.engine.onProbeResult(opened.target, ProbeResult::refused, world.now);
  cr_assert(world.engine.board().healthState(opened.target) ==
            HealthState::dead);
  CallerPacket reset = flowPacket(flowOf(1), opened.tag, 1001, 0);
  reset.isReset = true;
  world.send(reset);
  world.engine.takeProbes();
  world.run(2_s);
  for (const TargetSlot target : world.engine.takeProbes()) {
    world.engine.onProbeResult(target, ProbeResult::alive, world.now);
  }
  const TagBlackboard& board = world.engine.board();
  const FlowTag tag = board.tags.mint(board.registry, flowOf(2), opened.target);
  const SteeringDecision moved =
    world.send(flowPacket(flowOf(2), tag, 1000, 1, 100));
  cr_assert(moved.outcome == SteeringOutcome::forward);
  cr_assert_eq(moved.target, opened.target);
}

/// An instance is ready only if it knows the evacuations. Peers of the version
/// before don't know them, so the store has to be read.
Test(evacuations, an_instance_without_a_list_is_not_ready_and_reads_the_store)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  TagEngine& engine = world.at(first);
  std::vector<TargetChange> targets{ listed(1, 1) };
  listTargets(engine, 1, targets, world.now);
  engine.onRoutes({ { twoRoutes(1) }, positionAt(1) }, world.now, world.now);
  FleetMessage old = heartbeatWith({});
  old.sender.hasView = true;
  engine.onFleetMessage(old, world.now);
  cr_assert_not(engine.ready());
  cr_assert(engine.onPacket(opening(flowOf(1)), world.now).outcome ==
            SteeringOutcome::hold);
  engine.tick(world.now);
  for (const OutgoingFleetMessage& sent : engine.takeOutgoing()) {
    cr_assert_not(std::holds_alternative<ViewRequest>(sent.message.body),
                  "the peer has nothing that is missing here");
  }
  world.run(700_ms);
  cr_assert(engine.shouldReadStore(world.now));
  cr_assert_not(engine.board().operatorPosition().has_value());
  evacuate(engine, 9, {}, world.now);
  cr_assert(engine.ready());
  cr_assert(engine.onPacket(opening(flowOf(1)), world.now).outcome ==
            SteeringOutcome::forward);
}

/// Guards against a peer of the version before that raises the position from
/// which this instance reads on: it would miss an evacuation.
Test(evacuations, a_peer_that_sends_no_list_changes_nothing)
{
  ThreeZones world;
  world.evacuate(200, { evacuated("a", 200) });
  world.engine.onFleetMessage(heartbeatWith({}), world.now);
  const TagBlackboard& board = world.engine.board();
  cr_assert(board.routesPosition == std::optional(positionAt(500)));
  cr_assert(board.operatorPosition() == std::optional(positionAt(200)));
  cr_assert_not(world.zonesOfNewFlows(10).contains("a"));
  world.engine.onFleetMessage(
    heartbeatWith(EvacuationList{ positionAt(400), {} }), world.now);
  cr_assert(board.operatorPosition() == std::optional(positionAt(400)));
  cr_assert(world.zonesOfNewFlows(100).contains("a"));
}

/// Load: 21 instances in three zones lose a fifth of all messages. The operator
/// allows 5 s; one instance reads the store.
Test(evacuations,
     a_change_reaches_the_fleet_within_2_s_although_messages_are_lost)
{
  FleetWorld world;
  world.loss = 0.2;
  world.delay = 5_ms;
  world.addInThreeZones(21);
  const Endpoint reader = FleetWorld::addressOf(1);
  world.load(reader, 1);
  world.run(5_s);
  for (std::uint64_t round = 0; round < 4; ++round) {
    const bool isEvacuated = round % 2 == 0;
    std::vector<EvacuationChange> zones;
    if (isEvacuated) {
      zones.push_back(evacuated("b", 50 + round));
    }
    evacuate(world.at(reader), 50 + round, zones, world.now);
    world.run(2_s);
    for (const auto& [address, engine] : world.engines) {
      cr_assert_eq(engine->board().pools.isEvacuated("b"), isEvacuated);
    }
  }
}

/// Guards against an instance that serves callers before it knows an
/// evacuation: it started after the change was spread.
Test(evacuations, an_instance_that_starts_knows_them_before_it_is_ready)
{
  FleetWorld world;
  world.loss = 0.2;
  world.addInThreeZones(6);
  const Endpoint reader = FleetWorld::addressOf(1);
  world.load(reader, 1);
  evacuate(world.at(reader), 50, { evacuated("b", 50) }, world.now);
  world.run(3_s);
  const Endpoint started = world.add("b", 20);
  for (int step = 0; step < 400 && !world.at(started).ready(); ++step) {
    world.run(5_ms);
  }
  cr_assert(world.at(started).ready());
  cr_assert(world.at(started).board().pools.isEvacuated("b"));
}
