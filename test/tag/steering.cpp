/// \file
/// \brief Tests of the decisions about packets.

#include "TagFixture.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

Test(steering, packets_are_held_before_a_view_is_loaded)
{
  TagEngine engine(EngineFixture::settings({}, "entry-1", 1));
  cr_assert_not(engine.ready());
  const auto decision = engine.onPacket(opening(flowOf(1)), MilliTime{ 5 });
  cr_assert(decision.outcome == SteeringOutcome::hold);
  cr_assert(decision.reason == SteeringReason::noView);
}

/// Guards against packets of open flows waiting for the routes: after a power
/// failure, routes took 1.2 s longer to load than targets.
Test(steering, tagged_packets_are_forwarded_before_the_routes_are_loaded)
{
  EngineFixture before;
  const auto placed = before.open(flowOf(1));
  TagEngine fresh(EngineFixture::settings({}, "entry-2", 2));
  const MilliTime now = before.now;
  const std::vector<TargetChange> targets{
    listed(1, 1), listed(2, 2), listed(3, 3), listed(4, 4)
  };
  listTargets(fresh, 100, targets, now);
  cr_assert_not(fresh.ready());
  const auto onTag =
    fresh.onPacket(flowPacket(flowOf(1), placed.tag, 1001, 1), now);
  cr_assert(onTag.outcome == SteeringOutcome::forward);
  cr_assert_eq(fresh.board().registry.at(onTag.target).record.id,
               before.idOf(placed));
  cr_assert(fresh.onPacket(opening(flowOf(2)), now).outcome ==
            SteeringOutcome::hold);
  cr_assert(
    fresh.onPacket(flowPacket(flowOf(3), placed.tag, 1001, 1), now).outcome ==
    SteeringOutcome::hold);
  const MilliTime late = now + 3100_ms;
  cr_assert(
    fresh.onPacket(flowPacket(flowOf(1), placed.tag, 1101, 1), late).outcome ==
    SteeringOutcome::hold);
}

Test(steering, copies_of_an_opening_get_the_same_target_and_tag)
{
  EngineFixture world;
  const auto first = world.send(opening(flowOf(1)));
  for (std::uint32_t copy = 1; copy <= 2; ++copy) {
    world.run(200_ms);
    const auto again = world.send(opening(flowOf(1), copy));
    cr_assert_eq(again.target, first.target);
    cr_assert(again.tag == first.tag);
  }
}

Test(steering, any_instance_forwards_a_tagged_packet_without_state)
{
  EngineFixture placed;
  EngineFixture other(4, {}, "entry-2", 2);
  for (unsigned client = 0; client < 50; ++client) {
    const auto decision = placed.open(flowOf(client));
    const auto there =
      other.send(flowPacket(flowOf(client), decision.tag, 1000, 1, 100));
    cr_assert(there.outcome == SteeringOutcome::forward);
    cr_assert_eq(other.idOf(there), placed.idOf(decision));
  }
}

Test(steering, a_draining_target_keeps_its_flows_and_gets_no_new_ones)
{
  EngineFixture world(2);
  const auto placed = world.open(flowOf(1));
  const std::uint64_t number =
    world.engine.board().registry.at(placed.target).record.number;
  const TargetChange drained =
    listed(number, 200, "booking", "a", TargetState::draining);
  changeTargets(world.engine, 200, std::span(&drained, 1), world.now);
  const auto decision =
    world.send(flowPacket(flowOf(1), placed.tag, 1000, 1, 100));
  cr_assert(decision.outcome == SteeringOutcome::forward);
  cr_assert_eq(decision.target, placed.target);
  for (unsigned client = 2; client < 30; ++client) {
    cr_assert_neq(world.send(opening(flowOf(client))).target, placed.target);
  }
}

/// Guards against dropped packets of open flows after a route changed to
/// another service. A test version of the forwarder dropped them, which caused
/// the only failures of a run without faults.
Test(steering, open_flows_keep_their_target_when_their_route_changes_service)
{
  EngineFixture world;
  const auto placed = world.open(flowOf(1));
  RouteTable moved = twoRoutes(2);
  moved.routes[0].services = { { 1, 1 } };
  publishRoutes(world.engine, moved, world.now);
  const auto decision =
    world.send(flowPacket(flowOf(1), placed.tag, 1000, 1, 100));
  cr_assert(decision.outcome == SteeringOutcome::forward);
  cr_assert_eq(decision.target, placed.target);
  cr_assert_eq(world.idOf(world.send(opening(flowOf(2)))), "t-100");
}

Test(steering, flows_of_a_removed_route_are_reset)
{
  EngineFixture world;
  const auto placed = world.open(flowOf(1));
  RouteTable fewer = twoRoutes(2);
  fewer.routes.erase(fewer.routes.begin());
  publishRoutes(world.engine, fewer, world.now);
  const auto decision =
    world.send(flowPacket(flowOf(1), placed.tag, 1000, 1, 100));
  cr_assert(decision.outcome == SteeringOutcome::reset);
  cr_assert(decision.reason == SteeringReason::noRoute);
}

Test(steering, an_opening_without_a_route_is_reset_only_by_a_fresh_view)
{
  EngineFixture world;
  const FlowKey unknown = flowOf(1, "203.0.113.1:9999");
  cr_assert(world.send(opening(unknown)).outcome == SteeringOutcome::reset);
  world.run(5_s, false);
  cr_assert(world.send(opening(unknown)).outcome == SteeringOutcome::drop);
}

Test(steering, a_reset_is_not_answered_with_a_reset)
{
  EngineFixture world;
  CallerPacket packet =
    flowPacket(flowOf(1, "203.0.113.1:9999"), FlowTag{ 5 }, 1000, 1);
  packet.isReset = true;
  cr_assert(world.send(packet).outcome == SteeringOutcome::drop);
}

Test(steering, an_opening_that_carries_a_tag_or_data_is_dropped)
{
  EngineFixture world;
  CallerPacket packet = opening(flowOf(1));
  packet.tag = FlowTag{ 9 };
  cr_assert(world.send(packet).reason == SteeringReason::strayOpening);
  packet = opening(flowOf(1));
  packet.payload = std::span(kRequestBytes).first(4);
  cr_assert(world.send(packet).reason == SteeringReason::strayOpening);
}

Test(steering, a_packet_without_a_tag_is_dropped)
{
  EngineFixture world;
  const auto decision =
    world.send(flowPacket(flowOf(1), FlowTag{}, 1000, 1, 100));
  cr_assert(decision.outcome == SteeringOutcome::drop);
  cr_assert(decision.reason == SteeringReason::noTag);
}

Test(steering, a_packet_with_the_tag_of_another_flow_is_not_forwarded)
{
  EngineFixture world;
  const auto placed = world.open(flowOf(1));
  const auto decision =
    world.send(flowPacket(flowOf(2), placed.tag, 1000, 1, 100));
  cr_assert(decision.outcome != SteeringOutcome::forward);
}

/// After a restart of all instances, no instance knows targets that had left.
/// Their flows must not be held for ever.
Test(steering, a_flow_whose_target_left_is_reset_once_the_view_is_newer)
{
  EngineFixture before(5);
  FlowTag tag;
  FlowKey flow;
  for (unsigned client = 0; tag.bits == 0; ++client) {
    const auto placed = before.open(flowOf(client));
    if (before.idOf(placed) == "t-5") {
      tag = placed.tag;
      flow = flowOf(client);
    }
  }
  EngineFixture after(4, {}, "entry-2", 2);
  after.now = after.now + 100_ms;
  const auto packet = flowPacket(flow, tag, 1000, 1, 100);
  cr_assert(after.send(packet).outcome == SteeringOutcome::hold);
  after.run(2600_ms);
  const auto decision = after.send(packet);
  cr_assert(decision.outcome == SteeringOutcome::reset);
  cr_assert(decision.reason == SteeringReason::unknownTag);
}

/// The registry may have lost entries of live targets just before this process
/// started; the targets register again within 2 s. A reset in that time could
/// cost a request that must not be repeated.
Test(steering, a_flow_of_an_unknown_target_is_held_after_a_start)
{
  for (const RouteKind kind :
       { RouteKind::idempotent, RouteKind::nonIdempotent }) {
    EngineFixture world;
    RouteTable table = twoRoutes(2);
    table.routes[0].kind = kind;
    publishRoutes(world.engine, table, world.now);
    const auto packet =
      flowPacket(flowOf(1), FlowTag{ 0xabcde123 }, 1000, 1, 100);
    world.now = world.now + 10_ms;
    world.send(packet);
    world.run(2_s);
    cr_assert(world.send(packet).outcome == SteeringOutcome::hold);
    changeTargets(world.engine, 101, std::vector{ listed(50, 101) }, world.now);
    world.run(600_ms);
    cr_assert(world.send(packet).outcome == SteeringOutcome::reset);
  }
}

/// Guards against resets of a living target's flows: while its registration had
/// expired, an instance that had just started sent them to another writer's
/// entry with the target's number, found nobody there, and reset them.
Test(steering,
     an_entry_with_the_number_of_an_unlisted_target_gets_no_flow_of_it)
{
  EngineFixture before(5);
  unsigned client = 0;
  SteeringDecision placed = before.open(flowOf(client));
  while (before.idOf(placed) != "t-5") {
    placed = before.open(flowOf(++client));
  }
  EngineFixture after(4, {}, "entry-2", 2);
  changeTargets(after.engine, 101, std::vector{ oddEntry(5, 101) }, after.now);
  const auto packet = flowPacket(flowOf(client), placed.tag, 1000, 1, 100);
  for (int i = 0; i < 20; ++i) {
    cr_assert(after.send(packet).outcome == SteeringOutcome::hold);
    after.run(100_ms);
    for (const TargetSlot slot : after.engine.takeProbes()) {
      after.engine.onProbeResult(slot, ProbeResult::refused, after.now);
    }
    cr_assert(after.engine.takeFlowsToReset().empty());
  }
  changeTargets(after.engine, 102, std::vector{ listed(5, 102) }, after.now);
  const SteeringDecision decision = after.send(packet);
  cr_assert(decision.outcome == SteeringOutcome::forward);
  cr_assert_eq(after.idOf(decision), "t-5");
}

Test(steering, an_unknown_target_requests_a_listing_once_a_second)
{
  EngineFixture world;
  world.run(3_s);
  cr_assert_not(world.engine.needsTargetListing(world.now));
  world.now = world.now + 10_ms;
  const auto packet =
    flowPacket(flowOf(1), FlowTag{ 0xabcde123 }, 1000, 1, 100);
  world.send(packet);
  cr_assert(world.engine.needsTargetListing(world.now));
  world.send(packet);
  cr_assert_not(world.engine.needsTargetListing(world.now));
  world.now = world.now + 1_s;
  cr_assert(world.engine.needsTargetListing(world.now));
}

Test(steering, a_flow_of_an_unknown_target_is_held_after_a_store_failure)
{
  EngineFixture world;
  const auto packet =
    flowPacket(flowOf(1), FlowTag{ 0xabcde123 }, 1000, 1, 100);
  world.send(packet);
  world.engine.onStoreFailure("connect: refused", world.now);
  world.run(1_s);
  cr_assert(world.send(packet).outcome == SteeringOutcome::hold);
  world.run(2_s);
  cr_assert(world.send(packet).outcome == SteeringOutcome::reset);
}

Test(steering, services_of_a_route_get_flows_by_their_weights)
{
  EngineFixture world(3);
  RouteTable split = twoRoutes(2);
  split.routes[0].services = { { 0, 90 }, { 1, 10 } };
  publishRoutes(world.engine, split, world.now);
  int toSheets = 0;
  constexpr int kFlows = 20000;
  for (unsigned i = 0; i < kFlows; ++i) {
    FlowKey flow = flowOf(i % 200);
    flow.source.port = static_cast<std::uint16_t>(i);
    toSheets += chooseService(split.routes[0], flowIdOf(flow, 7)) == 1 ? 1 : 0;
  }
  cr_assert_geq(toSheets, kFlows / 10 - 200);
  cr_assert_leq(toSheets, kFlows / 10 + 200);
}

Test(steering, a_new_flow_goes_to_another_zone_if_the_own_zone_has_no_target)
{
  EngineFixture world(2);
  const std::vector<TargetChange> far{ listed(50, 150, "booking", "b"),
                                       listed(51, 151, "booking", "b") };
  changeTargets(world.engine, 151, far, world.now);
  const std::vector<TargetChange> ended{ gone(1, 200), gone(2, 201) };
  changeTargets(world.engine, 201, ended, world.now);
  const auto decision = world.send(opening(flowOf(99)));
  cr_assert(decision.outcome == SteeringOutcome::forward);
}

Test(steering, a_new_flow_is_reset_at_once_if_there_are_no_targets)
{
  EngineFixture world(0);
  const auto decision = world.send(opening(flowOf(1)));
  cr_assert(decision.outcome == SteeringOutcome::reset);
  cr_assert(decision.reason == SteeringReason::noTarget);
}

/// Guards against dropping openings while targets are overloaded: the copies
/// come 200 and 600 ms later, too late for callers with a deadline of 1 s.
Test(steering, an_opening_is_placed_at_once_even_if_all_targets_are_overloaded)
{
  EngineFixture world(1);
  for (unsigned client = 0; client < 100; ++client) {
    cr_assert(world.open(flowOf(client)).outcome == SteeringOutcome::forward);
  }
}

/// Guards against dropping openings because of estimated load: with short
/// downloads, an instance assumed that each of its two peers had opened as many
/// flows as itself, and dropped openings without any overload.
Test(steering, the_estimated_load_of_peers_drops_no_opening)
{
  EngineFixture world(1);
  for (const char* peer : { "127.0.0.1:8", "127.0.0.1:9" }) {
    FleetMessage message;
    message.sender.id = peer;
    message.sender.zone = "a";
    message.sender.address = *parseEndpoint(peer);
    message.body = FleetHeartbeat{};
    world.engine.onFleetMessage(message, world.now);
  }
  world.run(400_ms);
  cr_assert_eq(world.engine.board().zonePeers, 2);
  for (unsigned client = 0; client < 4; ++client) {
    cr_assert(world.open(flowOf(client)).outcome == SteeringOutcome::forward);
  }
}

/// Open flows alone must not cause flows to be placed in another zone, where a
/// network partition between zones would break them.
Test(steering, a_flow_leaves_its_zone_only_if_requests_queue_there)
{
  TagEngine engine(EngineFixture::settings({}, "entry-1", 1));
  const MilliTime now{ 100000 };
  const std::vector<TargetChange> targets{ listed(1, 1),
                                           listed(2, 2, "booking", "b") };
  publishRoutes(engine, twoRoutes(1), now);
  listTargets(engine, 100, targets, now);
  const auto zoneOf = [&](const SteeringDecision& decision) {
    return engine.board().registry.at(decision.target).record.zone;
  };
  const auto open = [&](unsigned client) {
    return engine.onPacket(opening(flowOf(client)), now);
  };
  const auto finishRequest = [&](unsigned client, FlowTag tag) {
    engine.onPacket(flowPacket(flowOf(client), tag, 1001, 1, 100), now);
    engine.onPacket(flowPacket(flowOf(client), tag, 1101, 1000), now);
  };
  for (unsigned client = 0; client < 50; ++client) {
    const auto placed = open(client);
    cr_assert_eq(zoneOf(placed), "a");
    finishRequest(client, placed.tag);
  }
  unsigned inOwnZone = 0;
  while (zoneOf(open(100 + inOwnZone)) == "a") {
    ++inOwnZone;
    cr_assert_lt(
      inOwnZone, 20, "flows stay in their zone however long its queue is");
  }
  cr_assert_geq(
    inOwnZone, 6, "a flow left its zone before requests queued there");
}

/// Case: a zone has a queue of its own and is partitioned from the other zones.
/// Each target of another zone may cost one copy of an opening, but not more.
Test(steering, a_silent_target_of_another_zone_gets_no_more_flows)
{
  TagEngine engine(EngineFixture::settings({}, "entry-1", 1));
  MilliTime now{ 100000 };
  const std::vector<TargetChange> targets{ listed(1, 1),
                                           listed(2, 2, "booking", "b") };
  publishRoutes(engine, twoRoutes(1), now);
  listTargets(engine, 100, targets, now);
  const TargetSlot far = engine.board().registry.find("t-2");
  unsigned client = 0;
  while (engine.onPacket(opening(flowOf(client)), now).target != far) {
    ++client;
    cr_assert_lt(client, 30);
  }
  now = now + 200_ms;
  engine.onPacket(opening(flowOf(client), 1), now);
  for (unsigned other = 100; other < 120; ++other) {
    const auto placed = engine.onPacket(opening(flowOf(other)), now);
    cr_assert(placed.outcome == SteeringOutcome::forward);
    cr_assert_neq(placed.target, far);
  }
}

namespace {

/// \returns the routes of twoRoutes() and one more at 203.0.113.9:443.
RouteTable
threeRoutes(std::uint64_t version)
{
  RouteTable table = twoRoutes(version);
  Route added = table.routes[0];
  added.name = "added";
  added.destination = *parseEndpoint("203.0.113.9:443");
  table.routes.push_back(added);
  return table;
}

}

/// Guards against resets by an instance with old routes: its routes were some
/// seconds old, and it reset flows that another instance had placed on a new
/// route.
Test(steering, an_open_flow_on_a_route_that_is_not_known_yet_is_held)
{
  EngineFixture ahead(4, {}, "entry-1");
  EngineFixture behind(4, {}, "entry-2");
  publishRoutes(ahead.engine, threeRoutes(2), ahead.now);
  const FlowKey flow = flowOf(1, "203.0.113.9:443");
  const auto placed = ahead.open(flow);
  cr_assert(placed.outcome == SteeringOutcome::forward);
  const auto packet = flowPacket(flow, placed.tag, 1000, 1, 100);
  cr_assert(behind.send(packet).outcome == SteeringOutcome::hold);
  behind.run(900_ms);
  cr_assert(behind.send(packet).outcome == SteeringOutcome::hold);
  publishRoutes(behind.engine, threeRoutes(2), behind.now);
  cr_assert(behind.send(packet).outcome == SteeringOutcome::forward);
}

Test(steering, an_open_flow_whose_route_was_removed_is_reset)
{
  EngineFixture before(4, {}, "entry-1");
  EngineFixture started(4, {}, "entry-2");
  publishRoutes(before.engine, threeRoutes(2), before.now);
  const FlowKey flow = flowOf(1, "203.0.113.9:443");
  const auto placed = before.open(flow);
  const auto packet = flowPacket(flow, placed.tag, 1000, 1, 100);
  publishRoutes(before.engine, twoRoutes(3), before.now);
  cr_assert(before.send(packet).outcome == SteeringOutcome::reset);
  // An instance that never had the route resets once its routes are confirmed.
  cr_assert(started.send(packet).outcome == SteeringOutcome::hold);
  started.run(1200_ms);
  cr_assert(started.send(packet).outcome == SteeringOutcome::reset);
}
