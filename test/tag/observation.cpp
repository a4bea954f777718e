/// \file
/// \brief Tests of the load and silence derived from callers' packets: cases
/// taken from packet traces, and a randomized comparison with a reference
/// model.

#include "TagFixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <optional>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief An observer with a clock; packets go to target 0 by default.
struct Observed
{
  FlowObserver observer;
  MilliTime now{ 1000 };

  Observation see(const CallerPacket& packet, TargetSlot target = 0)
  {
    return this->observer.onForwarded(packet,
                                      flowIdOf(packet.flow, 1),
                                      target,
                                      RouteKind::idempotent,
                                      packet.tag,
                                      this->now);
  }

  void pass(MilliDuration span) { this->now = this->now + span; }
  const TargetLoad& load() const { return this->observer.load(0); }
};

const FlowKey kFlow = flowOf(1);
constexpr FlowTag kTag{ 77 };

CallerPacket
closing(std::uint32_t sequence, std::uint32_t acknowledged)
{
  CallerPacket packet = flowPacket(kFlow, kTag, sequence, acknowledged);
  packet.isFinish = true;
  return packet;
}

}

Test(observation, a_request_is_busy_until_its_answer_is_acknowledged)
{
  Observed world;
  world.see(opening(kFlow));
  cr_assert_eq(world.load().busy, 1, "the first request is expected at once");
  world.see(flowPacket(kFlow, kTag, 1000, 500, 100));
  cr_assert_eq(world.load().busy, 1);
  world.pass(40_ms);
  cr_assert(world.see(flowPacket(kFlow, kTag, 1100, 700)) ==
            Observation::progressed);
  cr_assert_eq(world.load().busy, 0);
  cr_assert_eq(world.load().flows, 1);
}

Test(observation, the_next_request_may_carry_the_acknowledgement)
{
  Observed world;
  world.see(opening(kFlow));
  world.see(flowPacket(kFlow, kTag, 1000, 500, 100));
  world.see(flowPacket(kFlow, kTag, 1100, 900, 100));
  cr_assert_eq(world.load().busy, 1);
  world.see(flowPacket(kFlow, kTag, 1200, 1300));
  cr_assert_eq(world.load().busy, 0);
}

Test(observation, reordered_packets_are_not_counted_as_retransmissions)
{
  Observed world;
  world.see(opening(kFlow));
  world.see(flowPacket(kFlow, kTag, 1000, 500));
  world.see(flowPacket(kFlow, kTag, 1100, 500, 100));
  cr_assert(world.see(flowPacket(kFlow, kTag, 1000, 500, 100)) !=
            Observation::dataRetransmitted);
  cr_assert_eq(world.load().silentFlows, 0);
}

Test(observation, retransmitted_data_marks_the_flow_as_silent)
{
  Observed world;
  world.see(opening(kFlow));
  world.see(flowPacket(kFlow, kTag, 1000, 500, 100));
  world.pass(200_ms);
  cr_assert(world.see(flowPacket(kFlow, kTag, 1000, 500, 100)) ==
            Observation::dataRetransmitted);
  cr_assert_eq(world.load().silentFlows, 1);
  world.see(flowPacket(kFlow, kTag, 1100, 800));
  cr_assert_eq(world.load().silentFlows, 0);
}

/// Guards against load that is counted for a closed flow. In a packet trace
/// after a restart, the retransmission of a request that was lost with the
/// previous instance arrived after the end of its flow.
Test(observation, packets_after_the_end_of_a_flow_are_not_counted_as_load)
{
  Observed world;
  world.see(closing(1100, 700));
  world.pass(250_ms);
  world.see(flowPacket(kFlow, kTag, 1000, 700, 100));
  world.see(flowPacket(kFlow, kTag, 1101, 701));
  cr_assert_eq(world.load().flows, 0);
  cr_assert_eq(world.load().busy, 0);
}

Test(observation, a_closed_flow_is_removed_with_its_load)
{
  Observed world;
  world.see(opening(kFlow));
  world.see(flowPacket(kFlow, kTag, 1000, 500, 100));
  world.see(closing(1100, 700));
  world.see(flowPacket(kFlow, kTag, 1101, 701));
  cr_assert_eq(world.load().flows, 0);
  cr_assert_eq(world.load().busy, 0);
  world.pass(5_s);
  world.observer.sweep(world.now, 15_s);
  cr_assert_eq(world.observer.flowCount(), 0);
}

Test(observation, a_client_port_can_be_reused_for_another_flow)
{
  Observed world;
  world.see(opening(kFlow));
  world.see(closing(1000, 500));
  world.see(opening(kFlow));
  cr_assert_eq(world.load().flows, 1);
  cr_assert_eq(world.load().busy, 1);
}

Test(observation, an_acknowledgement_of_an_unknown_flow_is_not_counted_as_load)
{
  Observed world;
  world.see(flowPacket(kFlow, kTag, 1000, 500));
  cr_assert_eq(world.load().flows, 0);
}

Test(observation, a_repeated_opening_is_counted_only_if_an_earlier_one_was_seen)
{
  Observed world;
  cr_assert(world.see(opening(kFlow, 1)) == Observation::opened);
  world.pass(400_ms);
  cr_assert(world.see(opening(kFlow, 2)) == Observation::openingRetransmitted);
}

Test(observation, a_request_without_further_packets_does_not_stay_busy)
{
  Observed world;
  world.see(opening(kFlow));
  world.see(flowPacket(kFlow, kTag, 1000, 500, 100));
  world.pass(3_s);
  world.observer.sweep(world.now, 15_s);
  cr_assert_eq(world.load().busy, 0);
  cr_assert_eq(world.load().flows, 1);
}

/// Clients follow the protocol, and each packet may be delayed by one place in
/// a queue. After all of them have arrived, the counts must equal those of the
/// reference model.
Test(observation, counts_equal_the_reference_model_after_all_packets_arrived)
{
  const bool holds = rc::check(
    "flows and requests in progress",
    [](const std::vector<std::uint8_t>& script) {
      struct Caller
      {
        bool open = false;
        bool busy = false;
        std::uint32_t sequence = 1000;
        std::uint32_t acknowledged = 1;
        unsigned generation = 0;
      };
      Observed world;
      std::vector<Caller> callers(4);
      std::deque<CallerPacket> wire;
      const auto flush = [&](std::size_t keep) {
        while (wire.size() > keep) {
          world.see(wire.front());
          wire.pop_front();
          world.pass(1_ms);
        }
      };
      for (const std::uint8_t step : script) {
        Caller& caller = callers[step % 4];
        const FlowKey flow = flowOf(step % 4 + 10 * caller.generation);
        const unsigned action = step / 4 % 4;
        if (!caller.open) {
          caller = Caller{ true, true, 1001, 1, caller.generation };
          wire.push_back(opening(flow));
        } else if (action == 0 && !caller.busy) {
          wire.push_back(
            flowPacket(flow, kTag, caller.sequence, caller.acknowledged, 100));
          caller.sequence += 100;
          caller.busy = true;
        } else if (action == 1 && caller.busy) {
          flush(0);
          wire.push_back(
            flowPacket(flow, kTag, caller.sequence, caller.acknowledged, 50));
          flush(0);
          caller.sequence += 50;
          caller.acknowledged += 1000;
          wire.push_back(
            flowPacket(flow, kTag, caller.sequence, caller.acknowledged));
          caller.busy = false;
        } else if (action == 2) {
          CallerPacket end =
            flowPacket(flow, kTag, caller.sequence, caller.acknowledged);
          end.isFinish = true;
          flush(0);
          wire.push_back(end);
          wire.push_back(flowPacket(
            flow, kTag, caller.sequence + 1, caller.acknowledged + 1));
          caller.open = false;
          caller.busy = false;
          ++caller.generation;
        }
        flush(1);
      }
      flush(0);
      int flows = 0;
      int busy = 0;
      for (const Caller& caller : callers) {
        flows += caller.open ? 1 : 0;
        busy += caller.busy ? 1 : 0;
      }
      RC_ASSERT(world.load().flows == flows);
      RC_ASSERT(world.load().busy == busy);
    });
  cr_assert(holds);
}
