/// \file
/// \brief Tests of the detection of dead targets and of resets of their flows.

#include "TagFixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief Sends a request on an open flow and retransmits it 200 ms later.
/// \returns the decision about the retransmission
SteeringDecision
sendWithRetransmission(EngineFixture& world, const FlowKey& flow, FlowTag tag)
{
  world.send(flowPacket(flow, tag, 1000, 1, 100));
  world.run(200_ms);
  return world.send(flowPacket(flow, tag, 1000, 1, 100));
}

/// \brief Reports a result of each requested probe.
/// \returns the number of these probes
std::size_t
reportProbes(EngineFixture& world, ProbeResult result)
{
  const auto probes = world.engine.takeProbes();
  for (const TargetSlot slot : probes) {
    world.engine.onProbeResult(slot, result, world.now);
  }
  return probes.size();
}

}

Test(health, a_retransmission_while_another_flow_progresses_causes_no_probe)
{
  EngineFixture world(1);
  const auto first = world.open(flowOf(1));
  const auto second = world.open(flowOf(2));
  world.send(flowPacket(flowOf(1), first.tag, 1000, 1, 100));
  world.run(100_ms);
  world.send(flowPacket(flowOf(2), second.tag, 1000, 1, 100));
  world.run(100_ms);
  world.send(flowPacket(flowOf(2), second.tag, 1100, 900));
  world.send(flowPacket(flowOf(1), first.tag, 1000, 1, 100));
  cr_assert(world.engine.takeProbes().empty());
  cr_assert(world.engine.board().healthState(first.target) ==
            HealthState::trusted);
}

Test(health, a_retransmission_without_any_progress_causes_a_probe)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
  world.engine.onProbeResult(placed.target, ProbeResult::alive, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::trusted);
}

/// Guards against live targets that are found dead while the instance's link is
/// congested: the second timeout was counted although the control probe had
/// been answered before it. t-100 is the only other target of the zone, so it
/// is the control target.
Test(health, each_timeout_counts_only_after_a_later_control_probe_is_answered)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  for (int round = 0; round < 2; ++round) {
    reportProbes(world, ProbeResult::silent);
    cr_assert(world.engine.board().healthState(placed.target) ==
              HealthState::suspected);
    const auto control = world.engine.takeProbes();
    cr_assert_eq(control.size(), 1);
    cr_assert_neq(control[0], placed.target);
    world.engine.onProbeResult(control[0], ProbeResult::alive, world.now);
  }
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::dead);
}

Test(health, a_silent_control_probe_discards_earlier_timeouts)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  reportProbes(world, ProbeResult::silent);
  reportProbes(world, ProbeResult::alive);
  reportProbes(world, ProbeResult::silent);
  reportProbes(world, ProbeResult::silent);
  cr_assert(world.engine.takeProbes().empty());
  world.run(500_ms);
  const auto again = world.engine.takeProbes();
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0], placed.target);
  world.engine.onProbeResult(again[0], ProbeResult::silent, world.now);
  reportProbes(world, ProbeResult::alive);
  cr_assert(world.engine.board().healthState(placed.target) ==
              HealthState::suspected,
            "one timeout after the discarded ones made it dead");
}

/// A control probe that was sent before another target's probe timed out is not
/// enough: its answer may have passed the link before the missing answer.
Test(health, a_control_probe_sent_before_the_timeout_is_followed_by_another)
{
  EngineFixture world(2);
  const auto first = world.open(flowOf(1));
  unsigned client = 2;
  SteeringDecision second = world.open(flowOf(client));
  while (second.target == first.target) {
    second = world.open(flowOf(++client));
  }
  world.send(flowPacket(flowOf(1), first.tag, 1000, 1, 100));
  world.send(flowPacket(flowOf(client), second.tag, 1000, 1, 100));
  world.run(200_ms);
  world.send(flowPacket(flowOf(1), first.tag, 1000, 1, 100));
  world.send(flowPacket(flowOf(client), second.tag, 1000, 1, 100));
  cr_assert_eq(world.engine.takeProbes().size(), 2);
  world.engine.onProbeResult(first.target, ProbeResult::silent, world.now);
  const auto control = world.engine.takeProbes();
  cr_assert_eq(control.size(), 1);
  world.run(100_ms);
  world.engine.onProbeResult(second.target, ProbeResult::silent, world.now);
  cr_assert(world.engine.takeProbes().empty(), "two control probes at a time");
  world.engine.onProbeResult(control[0], ProbeResult::alive, world.now);
  const auto next = world.engine.takeProbes();
  cr_assert_eq(next.size(), 2);
  cr_assert_neq(next[0], second.target);
  cr_assert_neq(next[1], second.target);
}

/// Over a congested link, answers to probes arrive late but are not lost.
Test(health, a_late_probe_answer_makes_a_target_trusted)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  reportProbes(world, ProbeResult::silent);
  reportProbes(world, ProbeResult::alive);
  reportProbes(world, ProbeResult::silent);
  world.engine.onLateConnection(placed.target, world.now);
  reportProbes(world, ProbeResult::alive);
  cr_assert(world.engine.takeFlowsToReset().empty());
  world.engine.onLateResult(placed.target, ProbeResult::alive, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::trusted);
  cr_assert(world.engine.takeFlowsToReset().empty());
}

/// Another target, which accepts connections, may have the address now.
Test(health, a_late_probe_answer_of_another_target_makes_a_target_dead)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  reportProbes(world, ProbeResult::silent);
  world.engine.onLateConnection(placed.target, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
  world.engine.onLateResult(placed.target, ProbeResult::otherTarget, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::dead);
}

/// Guards against two targets that crash together and are each other's control
/// for ever, so that neither is found dead.
Test(health, after_a_silent_control_probe_another_target_is_the_control)
{
  EngineFixture world(1);
  const TargetChange far = listed(7, 107, "booking", "b");
  changeTargets(world.engine, 107, std::span(&far, 1), world.now);
  const auto placed = world.open(flowOf(1));
  const TargetSlot alive = world.engine.board().registry.find("t-7");
  sendWithRetransmission(world, flowOf(1), placed.tag);
  for (int round = 0; round < 20; ++round) {
    for (const TargetSlot slot : world.engine.takeProbes()) {
      world.engine.onProbeResult(slot,
                                 slot == alive ? ProbeResult::alive
                                               : ProbeResult::silent,
                                 world.now);
    }
    world.run(100_ms);
  }
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::dead);
}

/// Guards against counting timeouts without a control probe when all targets of
/// a zone are suspected at once.
Test(health, a_silent_target_stays_suspected_if_there_is_no_control)
{
  EngineFixture world(1);
  const TargetChange left = gone(100, 101);
  changeTargets(world.engine, 101, std::span(&left, 1), world.now);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  for (int round = 0; round < 10; ++round) {
    reportProbes(world, ProbeResult::silent);
    world.run(500_ms);
  }
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
}

/// Guards against live targets that are found dead because the instance's own
/// link is congested. In a large deployment this reset 419 open flows.
Test(health, no_target_is_found_dead_while_all_probes_time_out)
{
  EngineFixture world(3);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  for (int round = 0; round < 40; ++round) {
    world.run(200_ms);
    reportProbes(world, ProbeResult::silent);
  }
  cr_assert(world.engine.takeFlowsToReset().empty());
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
}

Test(health, a_target_that_a_peer_found_dead_is_probed_only_if_it_has_flows)
{
  EngineFixture world(2);
  const auto placed = world.open(flowOf(1));
  for (TargetSlot slot = 0; slot < 2; ++slot) {
    FleetMessage message;
    message.sender.id = "entry-9";
    message.sender.zone = "a";
    message.sender.address = *parseEndpoint("127.0.0.1:9");
    FleetHeartbeat beat;
    TargetReport report;
    report.target = world.engine.board().registry.at(slot).key.shortened();
    report.dead = true;
    beat.reports.push_back(report);
    message.body = beat;
    world.engine.onFleetMessage(message, world.now);
  }
  const auto probes = world.engine.takeProbes();
  cr_assert_eq(probes.size(), 1);
  cr_assert_eq(probes[0], placed.target);
  const TargetSlot other = placed.target == 0 ? 1 : 0;
  cr_assert(world.engine.board().isAvoided(other, world.now));
  cr_assert_not(world.engine.board().isAvoided(other, world.now + 2_s));
}

Test(health, a_refused_probe_or_another_target_at_the_address_means_dead)
{
  for (const ProbeResult result :
       { ProbeResult::refused, ProbeResult::otherTarget }) {
    EngineFixture world(1);
    const auto placed = world.open(flowOf(1));
    sendWithRetransmission(world, flowOf(1), placed.tag);
    reportProbes(world, result);
    cr_assert(world.engine.board().healthState(placed.target) ==
              HealthState::dead);
  }
}

Test(health, timeouts_after_a_pause_of_the_process_make_no_target_dead)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  const auto probes = world.engine.takeProbes();
  world.now = world.now + 4_s;
  world.engine.tick(world.now);
  world.engine.onProbeResult(probes[0], ProbeResult::silent, world.now);
  world.engine.onProbeResult(probes[0], ProbeResult::silent, world.now);
  cr_assert(world.engine.board().healthState(placed.target) !=
            HealthState::dead);
}

Test(health, idle_and_idempotent_flows_of_a_dead_target_are_reset)
{
  EngineFixture world(1);
  const FlowKey idle = flowOf(1);
  const FlowKey repeatable = flowOf(2);
  world.open(idle);
  const auto placed = world.open(repeatable);
  sendWithRetransmission(world, repeatable, placed.tag);
  reportProbes(world, ProbeResult::refused);
  std::set<FlowKey> resetFlows;
  for (const FlowToReset& flow : world.engine.takeFlowsToReset()) {
    resetFlows.insert(flow.flow);
  }
  cr_assert(resetFlows.contains(idle));
  cr_assert(resetFlows.contains(repeatable));
}

/// The answer may still arrive until the registry reports the target as gone.
Test(health, a_non_idempotent_request_is_reset_only_when_its_target_is_gone)
{
  EngineFixture world;
  const FlowKey flow = flowOf(1, "203.0.113.1:8443");
  const auto placed = world.open(flow);
  cr_assert_eq(world.idOf(placed), "t-100");
  sendWithRetransmission(world, flow, placed.tag);
  reportProbes(world, ProbeResult::refused);
  cr_assert(world.engine.takeFlowsToReset().empty());
  const auto packet = flowPacket(flow, placed.tag, 1000, 1, 100);
  cr_assert(world.send(packet).outcome == SteeringOutcome::forward);
  const TargetChange end = gone(100, 300);
  changeTargets(world.engine, 300, std::span(&end, 1), world.now);
  const auto decision = world.send(packet);
  cr_assert(decision.outcome == SteeringOutcome::reset);
  cr_assert(decision.reason == SteeringReason::targetGone);
}

/// A request whose target has left the registry can't be answered any more. Its
/// flow is reset once, without another packet of the caller.
Test(health, a_non_idempotent_flow_is_reset_once_its_dead_target_is_gone)
{
  EngineFixture world;
  const FlowKey flow = flowOf(1, "203.0.113.1:8443");
  const auto placed = world.open(flow);
  world.send(flowPacket(flow, placed.tag, 1000, 1, 100));
  world.run(300_ms);
  world.send(flowPacket(flow, placed.tag, 1000, 1, 100));
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  world.engine.onProbeResult(placed.target, ProbeResult::refused, world.now);
  cr_assert(world.engine.takeFlowsToReset().empty());
  world.run(3_s);
  const TargetChange left = gone(100, 101);
  changeTargets(world.engine, 101, std::span(&left, 1), world.now);
  world.run(20_ms);
  cr_assert_eq(world.engine.takeFlowsToReset().size(), 1);
  world.run(100_ms);
  cr_assert(world.engine.takeFlowsToReset().empty());
}

/// Guards against resets of a living target's flows by an instance that lists
/// another writer's entry at the target's own key.
Test(health, a_target_that_was_never_seen_to_answer_loses_no_open_flow)
{
  EngineFixture before(1);
  const auto placed = before.open(flowOf(1));
  EngineFixture world(1, {}, "entry-2", 2);
  const auto packet = flowPacket(flowOf(1), placed.tag, 1000, 1, 100);
  for (int i = 0; i < 20; ++i) {
    cr_assert(world.send(packet).outcome != SteeringOutcome::reset);
    world.run(100_ms);
    reportProbes(world, ProbeResult::refused);
    cr_assert(world.engine.takeFlowsToReset().empty());
  }
  cr_assert(world.engine.board().healthState(0) == HealthState::dead);
  const TargetChange end = gone(1, 300);
  changeTargets(world.engine, 300, std::span(&end, 1), world.now);
  cr_assert(world.send(packet).outcome == SteeringOutcome::reset);
}

Test(health, a_target_that_shares_its_number_is_probed_until_it_answers)
{
  EngineFixture world(2);
  const TargetChange odd = oddEntry(2, 101);
  changeTargets(world.engine, 101, std::span(&odd, 1), world.now);
  const TargetSlot slot = world.engine.board().registry.find("x-2");
  world.run(1100_ms);
  cr_assert_eq(reportProbes(world, ProbeResult::refused), 1);
  cr_assert_not(world.engine.board().registry.at(slot).takesNewFlows());
  world.run(1100_ms);
  cr_assert_eq(reportProbes(world, ProbeResult::alive), 1);
  cr_assert(world.engine.board().registry.at(slot).takesNewFlows());
  world.run(2200_ms);
  cr_assert(world.engine.takeProbes().empty());
}

Test(health, a_copy_of_an_opening_to_a_dead_target_goes_to_another)
{
  EngineFixture world(2);
  const auto placed = world.open(flowOf(1));
  unsigned client = 2;
  SteeringDecision second = world.send(opening(flowOf(client)));
  while (second.target != placed.target) {
    second = world.send(opening(flowOf(++client)));
  }
  sendWithRetransmission(world, flowOf(1), placed.tag);
  reportProbes(world, ProbeResult::refused);
  const auto copy = world.send(opening(flowOf(client), 1));
  cr_assert(copy.outcome == SteeringOutcome::forward);
  cr_assert_neq(copy.target, placed.target);
}

/// Guards against the reset of a new flow while the only target that is not
/// dead is suspected for a moment.
Test(health, a_suspected_target_is_chosen_before_a_dead_one)
{
  EngineFixture world(2);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  reportProbes(world, ProbeResult::refused);
  // The other target gets all flows and is then suspected too.
  unsigned client = 2;
  const auto other = world.open(flowOf(client));
  cr_assert_neq(other.target, placed.target);
  for (; client < 20; ++client) {
    world.open(flowOf(client));
  }
  sendWithRetransmission(world, flowOf(2), other.tag);
  const auto decision = world.send(opening(flowOf(++client)));
  cr_assert(decision.outcome == SteeringOutcome::forward);
  cr_assert_eq(decision.target, other.target);
}

Test(health, new_flows_avoid_a_suspected_target)
{
  EngineFixture world(2);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  for (unsigned client = 2; client < 20; ++client) {
    cr_assert_neq(world.send(opening(flowOf(client))).target, placed.target);
  }
}

Test(health, a_dead_target_is_probed_again_and_used_once_it_answers)
{
  EngineFixture world(1);
  const auto placed = world.open(flowOf(1));
  sendWithRetransmission(world, flowOf(1), placed.tag);
  reportProbes(world, ProbeResult::refused);
  world.run(1200_ms);
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  world.engine.onProbeResult(placed.target, ProbeResult::alive, world.now);
  cr_assert(world.send(opening(flowOf(2))).outcome == SteeringOutcome::forward);
}

Test(health, packets_for_a_gone_target_are_forwarded_until_a_probe_fails)
{
  EngineFixture world(2);
  const auto placed = world.open(flowOf(1));
  const std::uint64_t number =
    world.engine.board().registry.at(placed.target).record.number;
  const TargetChange end = gone(number, 300);
  changeTargets(world.engine, 300, std::span(&end, 1), world.now);
  const auto packet = flowPacket(flowOf(1), placed.tag, 1000, 1, 100);
  cr_assert(world.send(packet).outcome == SteeringOutcome::forward);
  reportProbes(world, ProbeResult::otherTarget);
  cr_assert(world.send(packet).outcome == SteeringOutcome::reset);
}
