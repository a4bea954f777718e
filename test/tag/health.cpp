/// \file
/// \brief Tests of silent targets and of the flows that are freed from them.

#include "TagFixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief Sends a request and its copy 200 ms later on an open flow.
SteeringDecision
sendTwice(OneEngine& world, const FlowKey& flow, FlowTag tag)
{
  world.send(later(flow, tag, 1000, 1, 100));
  world.run(200_ms);
  return world.send(later(flow, tag, 1000, 1, 100));
}

/// \brief Answers the probes that are asked for.
void
answerProbes(OneEngine& world, ProbeResult result)
{
  for (const TargetSlot slot : world.engine.takeProbes()) {
    world.engine.onProbeResult(slot, result, world.now);
  }
}

}

Test(health, a_lost_packet_is_no_crash)
{
  OneEngine world(1);
  const auto first = world.open(flowOf(1));
  const auto second = world.open(flowOf(2));
  world.send(later(flowOf(1), first.tag, 1000, 1, 100));
  world.run(100_ms);
  world.send(later(flowOf(2), second.tag, 1000, 1, 100));
  world.run(100_ms);
  world.send(later(flowOf(2), second.tag, 1100, 900));
  world.send(later(flowOf(1), first.tag, 1000, 1, 100));
  cr_assert(world.engine.takeProbes().empty());
  cr_assert(world.engine.board().healthState(first.target) ==
            HealthState::trusted);
}

Test(health, a_repeated_request_without_any_progress_is_probed)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
  world.engine.onProbeResult(placed.target, ProbeResult::alive, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::trusted);
}

/// t-100 is the only other target of the zone, so it is the control. Beside a
/// full link a second silence made living targets dead, because the control
/// had answered before it.
Test(health, each_silence_is_proof_only_if_another_target_answers_after_it)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  for (int round = 0; round < 2; ++round) {
    answerProbes(world, ProbeResult::silent);
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

Test(health, a_second_silence_beside_a_silent_control_starts_over)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  answerProbes(world, ProbeResult::silent);
  answerProbes(world, ProbeResult::alive);
  answerProbes(world, ProbeResult::silent);
  answerProbes(world, ProbeResult::silent);
  cr_assert(world.engine.takeProbes().empty());
  world.run(500_ms);
  const auto again = world.engine.takeProbes();
  cr_assert_eq(again.size(), 1);
  cr_assert_eq(again[0], placed.target);
  world.engine.onProbeResult(again[0], ProbeResult::silent, world.now);
  answerProbes(world, ProbeResult::alive);
  cr_assert(world.engine.board().healthState(placed.target) ==
              HealthState::suspected,
            "one silence is not enough after all");
}

/// The answer of a control that was asked before may have overtaken the one
/// that is missing.
Test(health, a_control_that_was_asked_before_the_silence_tells_nothing)
{
  OneEngine world(2);
  const auto first = world.open(flowOf(1));
  unsigned client = 2;
  SteeringDecision second = world.open(flowOf(client));
  while (second.target == first.target) {
    second = world.open(flowOf(++client));
  }
  world.send(later(flowOf(1), first.tag, 1000, 1, 100));
  world.send(later(flowOf(client), second.tag, 1000, 1, 100));
  world.run(200_ms);
  world.send(later(flowOf(1), first.tag, 1000, 1, 100));
  world.send(later(flowOf(client), second.tag, 1000, 1, 100));
  cr_assert_eq(world.engine.takeProbes().size(), 2);
  world.engine.onProbeResult(first.target, ProbeResult::silent, world.now);
  const auto control = world.engine.takeProbes();
  cr_assert_eq(control.size(), 1);
  world.run(100_ms);
  world.engine.onProbeResult(second.target, ProbeResult::silent, world.now);
  cr_assert(world.engine.takeProbes().empty(), "one control at a time");
  world.engine.onProbeResult(control[0], ProbeResult::alive, world.now);
  const auto next = world.engine.takeProbes();
  cr_assert_eq(next.size(), 2);
  cr_assert_neq(next[0], second.target);
  cr_assert_neq(next[1], second.target);
}

/// Probes of a link that is full are answered late, not never.
Test(health, a_late_answer_is_a_sign_of_life)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  answerProbes(world, ProbeResult::silent);
  answerProbes(world, ProbeResult::alive);
  answerProbes(world, ProbeResult::silent);
  world.engine.onLateConnection(placed.target, world.now);
  answerProbes(world, ProbeResult::alive);
  cr_assert(world.engine.takeRescued().empty());
  world.engine.onLateResult(placed.target, ProbeResult::alive, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::trusted);
  cr_assert(world.engine.takeRescued().empty());
}

/// Its address may have been given to another one, which takes connections.
Test(health, a_late_answer_of_another_target_is_no_sign_of_life)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  answerProbes(world, ProbeResult::silent);
  world.engine.onLateConnection(placed.target, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
  world.engine.onLateResult(placed.target, ProbeResult::otherTarget, world.now);
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::dead);
}

/// Two targets that crash together must not vouch against each other for ever.
Test(health, a_silent_control_makes_room_for_another_one)
{
  OneEngine world(1);
  const TargetChange far = listed(7, 107, "booking", "b");
  world.engine.onTargetChanges(107, std::span(&far, 1), world.now, world.now);
  const auto placed = world.open(flowOf(1));
  const TargetSlot alive = world.engine.board().registry.find("t-7");
  sendTwice(world, flowOf(1), placed.tag);
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

/// When all targets of a zone were suspected at once, two silent probes were
/// proof without any control.
Test(health, silence_proves_nothing_when_nobody_is_left_to_compare_with)
{
  OneEngine world(1);
  const TargetChange left = gone(100, 101);
  world.engine.onTargetChanges(101, std::span(&left, 1), world.now, world.now);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  for (int round = 0; round < 10; ++round) {
    answerProbes(world, ProbeResult::silent);
    world.run(500_ms);
  }
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
}

/// A choked link of the instance's own made live targets look dead on the
/// grown site: 419 open flows were reset.
Test(health, trouble_of_the_own_link_makes_no_target_dead)
{
  OneEngine world(3);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  for (int round = 0; round < 40; ++round) {
    world.run(200_ms);
    answerProbes(world, ProbeResult::silent);
  }
  cr_assert(world.engine.takeRescued().empty());
  cr_assert(world.engine.board().healthState(placed.target) ==
            HealthState::suspected);
}

Test(health, what_a_peer_found_dead_is_probed_only_where_it_has_flows)
{
  OneEngine world(2);
  const auto placed = world.open(flowOf(1));
  for (TargetSlot slot = 0; slot < 2; ++slot) {
    FleetMessage message;
    message.sender.id = "entry-9";
    message.sender.zone = "a";
    message.sender.address = *parseEndpoint("127.0.0.1:9");
    FleetHeartbeat beat;
    TargetReport report;
    report.number = world.engine.board().registry.at(slot).record.number;
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

Test(health, a_refused_probe_or_another_target_at_the_address_is_proof)
{
  for (const ProbeResult result :
       { ProbeResult::refused, ProbeResult::otherTarget }) {
    OneEngine world(1);
    const auto placed = world.open(flowOf(1));
    sendTwice(world, flowOf(1), placed.tag);
    answerProbes(world, result);
    cr_assert(world.engine.board().healthState(placed.target) ==
              HealthState::dead);
  }
}

Test(health, a_process_that_stood_still_finds_nobody_dead)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  const auto probes = world.engine.takeProbes();
  world.now = world.now + 4_s;
  world.engine.tick(world.now);
  world.engine.onProbeResult(probes[0], ProbeResult::silent, world.now);
  world.engine.onProbeResult(probes[0], ProbeResult::silent, world.now);
  cr_assert(world.engine.board().healthState(placed.target) !=
            HealthState::dead);
}

Test(health, idle_and_repeatable_flows_of_a_dead_target_are_freed)
{
  OneEngine world(1);
  const FlowKey idle = flowOf(1);
  const FlowKey repeatable = flowOf(2);
  world.open(idle);
  const auto placed = world.open(repeatable);
  sendTwice(world, repeatable, placed.tag);
  answerProbes(world, ProbeResult::refused);
  std::set<FlowKey> freed;
  for (const RescuedFlow& flow : world.engine.takeRescued()) {
    freed.insert(flow.flow);
  }
  cr_assert(freed.contains(idle));
  cr_assert(freed.contains(repeatable));
}

/// Its answer may still come: only the registry says that it never will.
Test(health, a_request_that_may_not_run_twice_waits_for_the_registry)
{
  OneEngine world;
  const FlowKey flow = flowOf(1, "203.0.113.1:8443");
  const auto placed = world.open(flow);
  cr_assert_eq(world.idOf(placed), "t-100");
  sendTwice(world, flow, placed.tag);
  answerProbes(world, ProbeResult::refused);
  cr_assert(world.engine.takeRescued().empty());
  const auto packet = later(flow, placed.tag, 1000, 1, 100);
  cr_assert(world.send(packet).outcome == SteeringOutcome::forward);
  const TargetChange end = gone(100, 300);
  world.engine.onTargetChanges(300, std::span(&end, 1), world.now, world.now);
  const auto decision = world.send(packet);
  cr_assert(decision.outcome == SteeringOutcome::reset);
  cr_assert(decision.reason == SteeringReason::targetGone);
}

/// Once its target has left for good, nothing will ever answer the request.
Test(health, a_request_that_may_have_run_is_freed_when_its_target_has_left)
{
  OneEngine world;
  const FlowKey flow = flowOf(1, "203.0.113.1:8443");
  const auto placed = world.open(flow);
  world.send(later(flow, placed.tag, 1000, 1, 100));
  world.run(300_ms);
  world.send(later(flow, placed.tag, 1000, 1, 100));
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  world.engine.onProbeResult(placed.target, ProbeResult::refused, world.now);
  cr_assert(world.engine.takeRescued().empty());
  world.run(3_s);
  const TargetChange left = gone(100, 101);
  world.engine.onTargetChanges(101, std::span(&left, 1), world.now, world.now);
  world.run(20_ms);
  cr_assert_eq(world.engine.takeRescued().size(), 1);
  world.run(100_ms);
  cr_assert(world.engine.takeRescued().empty());
}

Test(health, a_copy_of_an_opening_leaves_a_dead_target)
{
  OneEngine world(2);
  const auto placed = world.open(flowOf(1));
  unsigned client = 2;
  SteeringDecision second = world.send(opening(flowOf(client)));
  while (second.target != placed.target) {
    second = world.send(opening(flowOf(++client)));
  }
  sendTwice(world, flowOf(1), placed.tag);
  answerProbes(world, ProbeResult::refused);
  const auto copy = world.send(opening(flowOf(client), 1));
  cr_assert(copy.outcome == SteeringOutcome::forward);
  cr_assert_neq(copy.target, placed.target);
}

/// A suspicion of a moment once refused a flow that the target would have
/// taken.
Test(health, a_suspected_target_is_better_than_a_dead_one)
{
  OneEngine world(2);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  answerProbes(world, ProbeResult::refused);
  // The other target gets all flows, then is suspected too.
  unsigned client = 2;
  const auto other = world.open(flowOf(client));
  cr_assert_neq(other.target, placed.target);
  for (; client < 20; ++client) {
    world.open(flowOf(client));
  }
  sendTwice(world, flowOf(2), other.tag);
  const auto decision = world.send(opening(flowOf(++client)));
  cr_assert(decision.outcome == SteeringOutcome::forward);
  cr_assert_eq(decision.target, other.target);
}

Test(health, new_flows_avoid_a_suspected_target)
{
  OneEngine world(2);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  for (unsigned client = 2; client < 20; ++client) {
    cr_assert_neq(world.send(opening(flowOf(client))).target, placed.target);
  }
}

Test(health, a_dead_target_is_looked_at_again_and_may_return)
{
  OneEngine world(1);
  const auto placed = world.open(flowOf(1));
  sendTwice(world, flowOf(1), placed.tag);
  answerProbes(world, ProbeResult::refused);
  world.run(1200_ms);
  cr_assert_eq(world.engine.takeProbes().size(), 1);
  world.engine.onProbeResult(placed.target, ProbeResult::alive, world.now);
  cr_assert(world.send(opening(flowOf(2))).outcome == SteeringOutcome::forward);
}

Test(health, packets_for_a_target_that_left_are_forwarded_until_a_probe_fails)
{
  OneEngine world(2);
  const auto placed = world.open(flowOf(1));
  const std::uint64_t number =
    world.engine.board().registry.at(placed.target).record.number;
  const TargetChange end = gone(number, 300);
  world.engine.onTargetChanges(300, std::span(&end, 1), world.now, world.now);
  const auto packet = later(flowOf(1), placed.tag, 1000, 1, 100);
  cr_assert(world.send(packet).outcome == SteeringOutcome::forward);
  answerProbes(world, ProbeResult::otherTarget);
  cr_assert(world.send(packet).outcome == SteeringOutcome::reset);
}
