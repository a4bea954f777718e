/// \file
/// \brief Tests of what proves that an open flow can't go on: it is reset only
/// then.

#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

const char* const kDestination = "203.0.113.9:443";

/// \returns twoRoutes() and a route to kDestination.
RouteTable
withRoute(std::uint64_t version)
{
  RouteTable table = twoRoutes(version);
  Route route = table.routes[0];
  route.name = "dropped at times";
  route.destination = *parseEndpoint(kDestination);
  table.routes.push_back(route);
  return table;
}

/// \brief Two instances that hold version 3, which has dropped the route of
/// version 2.
struct TwoInstances
{
  EngineFixture ahead{ 4, {}, "entry-1" };
  EngineFixture behind{ 4, {}, "entry-2" };

  TwoInstances()
  {
    for (EngineFixture* each : { &this->ahead, &this->behind }) {
      publishRoutes(each->engine, withRoute(2), each->now);
      each->run(5_s);
      publishRoutes(each->engine, twoRoutes(3), each->now);
      each->run(100_ms, false);
    }
  }

  /// \brief Opens a flow at the instance ahead, which has a restored route.
  /// \returns a packet of the flow
  CallerPacket open(const FlowKey& flow)
  {
    publishRoutes(this->ahead.engine, withRoute(5), this->ahead.now);
    const SteeringDecision placed = this->ahead.open(flow);
    cr_assert(placed.outcome == SteeringOutcome::forward);
    return flowPacket(flow, placed.tag, 1000, 1, 100);
  }
};

}

/// Guards against resets of open flows on a restored route by an instance that
/// has not received the restoring version.
Test(flow_resets, a_route_that_was_restored_elsewhere_resets_no_flow)
{
  TwoInstances world;
  const CallerPacket packet = world.open(flowOf(1, kDestination));
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  world.behind.run(900_ms);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  publishRoutes(world.behind.engine, withRoute(5), world.behind.now);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::forward);
}

/// Guards against callers of a dropped route that wait until their deadlines.
Test(flow_resets, a_younger_read_without_the_route_resets_a_moved_flow)
{
  TwoInstances world;
  const CallerPacket packet = world.open(flowOf(1, kDestination));
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  world.behind.run(1200_ms);
  const auto decision = world.behind.send(packet);
  cr_assert(decision.outcome == SteeringOutcome::reset);
  cr_assert(decision.reason == SteeringReason::noRoute);
}

/// Guards against a wait of callers whose flows this instance has carried since
/// before the store was read.
Test(flow_resets, a_carried_flow_is_reset_with_the_version_that_drops_its_route)
{
  TwoInstances world;
  const CallerPacket packet = world.open(flowOf(1, kDestination));
  publishRoutes(world.behind.engine, withRoute(5), world.behind.now);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::forward);
  world.behind.run(2_s);
  publishRoutes(world.behind.engine, twoRoutes(7), world.behind.now);
  const auto next = flowPacket(packet.flow, packet.tag, 1100, 1, 100);
  cr_assert(world.behind.send(next).outcome == SteeringOutcome::reset);
}

/// Guards against resets of open flows whose route and target are both newer
/// than this instance's view.
Test(flow_resets, an_unknown_target_on_an_unknown_route_resets_no_flow)
{
  TwoInstances world;
  const CallerPacket packet =
    flowPacket(flowOf(1, kDestination), FlowTag{ 0x12345678 }, 1000, 1, 100);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  world.behind.run(1200_ms);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::reset);
}

/// Guards against a reset by a packet of an earlier flow with the same
/// addresses and ports.
Test(flow_resets, a_flow_seen_long_ago_proves_nothing_about_a_new_one)
{
  TwoInstances world;
  const CallerPacket packet = world.open(flowOf(1, kDestination));
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  world.behind.run(20_s);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
}

/// Guards against a confirmation of a peer that queued at a congested link and
/// counts as younger than the flow.
Test(flow_resets, a_delayed_confirmation_of_a_peer_resets_no_flow)
{
  TwoInstances world;
  const CallerPacket packet = world.open(flowOf(1, kDestination));
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  const auto confirmByPeer = [&world](std::int64_t stamp) {
    FleetMessage message = messageOfStranger("entry-9", "a");
    FleetHeartbeat heartbeat;
    heartbeat.view.routesVersion = 3;
    heartbeat.view.routesEra = 0;
    heartbeat.view.routesConfirmation = { 9, stamp };
    message.body = heartbeat;
    world.behind.engine.onFleetMessage(message, world.behind.now);
  };
  world.behind.run(800_ms, false);
  confirmByPeer(9);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::hold);
  world.behind.run(500_ms, false);
  confirmByPeer(10);
  cr_assert(world.behind.send(packet).outcome == SteeringOutcome::reset);
}
