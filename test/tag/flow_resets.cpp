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
  cr_assert(world.behind.send(next).outcome == SteeringOutcome::reset,
            "the first reset may have been lost");
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

namespace {

/// \returns the registration of a target that started at a time.
TargetChange
startedAt(std::uint64_t revision, std::uint64_t incarnation)
{
  TargetChange change = listed(1, revision);
  change.record.incarnation = incarnation;
  return change;
}

/// \brief One target, which this instance has found dead. It starts again, and
/// a caller opens a flow through an instance that knows this.
struct TargetStartedAgain
{
  EngineFixture ahead{ 1, {}, "entry-1" };
  EngineFixture behind{ 1, {}, "entry-2" };
  TargetSlot target = kNoTargetSlot;

  TargetStartedAgain()
  {
    const auto placed = this->behind.open(flowOf(1));
    this->target = placed.target;
    const auto request = flowPacket(flowOf(1), placed.tag, 1000, 1, 100);
    this->behind.send(request);
    this->behind.run(300_ms);
    this->behind.send(request);
    this->report(ProbeResult::refused);
    cr_assert(this->isDead());
    cr_assert_eq(this->behind.engine.takeFlowsToReset().size(), 1);
    this->behind.run(300_ms);
  }

  bool isDead() const
  {
    return this->behind.engine.board().healthState(this->target) ==
           HealthState::dead;
  }

  /// \brief Reports a result for all probes that were requested.
  void report(ProbeResult result)
  {
    for (const TargetSlot slot : this->behind.engine.takeProbes()) {
      this->behind.engine.onProbeResult(slot, result, this->behind.now);
    }
  }

  /// \returns a packet of a flow that was opened at the instance ahead.
  CallerPacket open(const FlowKey& flow)
  {
    const TargetChange again = startedAt(300, 2);
    changeTargets(
      this->ahead.engine, 300, std::span(&again, 1), this->ahead.now);
    const auto placed = this->ahead.open(flow);
    cr_assert(placed.outcome == SteeringOutcome::forward);
    return flowPacket(flow, placed.tag, 1000, 1, 100);
  }
};

}

/// Guards against resets of a new process's flows because this instance found
/// the target's former process dead.
Test(flow_resets, a_probe_before_the_flow_was_seen_resets_no_flow)
{
  for (const bool isGone : { false, true }) {
    TargetStartedAgain world;
    if (isGone) {
      const TargetChange left = gone(1, 200);
      changeTargets(
        world.behind.engine, 200, std::span(&left, 1), world.behind.now);
    }
    const CallerPacket packet = world.open(flowOf(2));
    cr_assert(world.behind.send(packet).outcome == SteeringOutcome::forward);
    cr_assert(world.isDead(), "a packet is no answer");
    world.behind.run(1_s);
    cr_assert(world.behind.send(packet).outcome == SteeringOutcome::forward);
    world.report(ProbeResult::alive);
    cr_assert(world.behind.send(packet).outcome == SteeringOutcome::forward);
    cr_assert_not(world.isDead());
  }
}

/// Guards against callers of a dead target that wait because their flows moved
/// here after it was found dead.
Test(flow_resets, a_probe_after_the_flow_was_seen_resets_it)
{
  for (const bool isGone : { false, true }) {
    TargetStartedAgain world;
    const CallerPacket packet = world.open(flowOf(2));
    if (isGone) {
      const TargetChange left = gone(1, 200);
      changeTargets(
        world.behind.engine, 200, std::span(&left, 1), world.behind.now);
    }
    world.behind.run(1_s);
    cr_assert(world.behind.send(packet).outcome == SteeringOutcome::forward);
    world.report(ProbeResult::refused);
    world.behind.run(1_s);
    world.behind.send(packet);
    world.report(ProbeResult::refused);
    cr_assert(world.behind.send(packet).outcome == SteeringOutcome::reset);
    cr_assert(world.behind.send(packet).outcome == SteeringOutcome::reset,
              "the first reset may have been lost");
  }
}

/// Guards against resets of flows that were opened after the probe that found
/// their target dead had been sent.
Test(flow_resets, a_flow_younger_than_the_probe_is_not_swept)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  const auto request = flowPacket(flowOf(1), placed.tag, 1000, 1, 100);
  world.send(request);
  world.run(300_ms);
  world.send(request);
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  world.run(100_ms);
  const auto moved = world.engine.board().tags.mint(
    world.engine.board().registry, flowOf(3), placed.target);
  world.send(flowPacket(flowOf(3), moved, 1000, 1, 100));
  world.engine.onProbeResult(placed.target, ProbeResult::refused, world.now);
  const auto toReset = world.engine.takeFlowsToReset();
  cr_assert_eq(toReset.size(), 1);
  cr_assert(toReset[0].flow == flowOf(1));
}

namespace {

/// \returns the registration of the target that EngineFixture lists first.
TargetChange
draining(std::uint64_t revision)
{
  return listed(1, revision, "booking", "a", TargetState::draining);
}

/// \brief One draining target with an open flow, whose caller retransmits.
struct DrainingTarget
{
  EngineFixture instance{ 1 };
  SteeringDecision placed;
  CallerPacket request;

  DrainingTarget()
  {
    this->placed = this->instance.open(flowOf(1));
    this->instance.run(3_s);
    const TargetChange drain = draining(200);
    changeTargets(
      this->instance.engine, 200, std::span(&drain, 1), this->instance.now);
    this->request = flowPacket(flowOf(1), this->placed.tag, 1000, 1, 100);
    this->instance.send(this->request);
    this->instance.run(300_ms);
    this->instance.send(this->request);
  }

  /// \brief Reports a result for all probes that were requested.
  /// \returns the number of the probes
  std::size_t report(ProbeResult result)
  {
    const auto probes = this->instance.engine.takeProbes();
    for (const TargetSlot slot : probes) {
      this->instance.engine.onProbeResult(slot, result, this->instance.now);
    }
    return probes.size();
  }

  bool isReset()
  {
    return !this->instance.engine.takeFlowsToReset().empty() ||
           this->instance.send(this->request).outcome == SteeringOutcome::reset;
  }
};

}

/// Guards against resets of flows that a draining target serves although it
/// refuses new connections.
Test(flow_resets, a_draining_target_that_refuses_connections_loses_no_flow)
{
  DrainingTarget world;
  for (int second = 0; second < 5; ++second) {
    cr_assert_eq(world.report(ProbeResult::refused), 1);
    cr_assert_not(world.isReset());
    world.instance.run(1_s);
  }
}

/// Guards against callers of a draining target that has ended, which wait until
/// their deadlines because it is not probed any more.
Test(flow_resets, a_drained_target_that_left_and_refuses_loses_its_flows)
{
  DrainingTarget world;
  cr_assert_eq(world.report(ProbeResult::refused), 1);
  const TargetChange left = gone(1, 201);
  changeTargets(
    world.instance.engine, 201, std::span(&left, 1), world.instance.now);
  world.instance.run(1_s);
  cr_assert_not(world.isReset());
  cr_assert_eq(world.report(ProbeResult::refused), 1);
  cr_assert(world.isReset());
}

/// Guards against a late refusal that counts as proof although one in time
/// doesn't.
Test(flow_resets, a_late_refusal_of_a_draining_target_resets_no_flow)
{
  DrainingTarget world;
  world.instance.engine.takeProbes();
  world.instance.engine.onProbeResult(
    world.placed.target, ProbeResult::silent, world.instance.now);
  world.instance.engine.onLateResult(
    world.placed.target, ProbeResult::refused, world.instance.now);
  cr_assert_not(world.isReset());
}
