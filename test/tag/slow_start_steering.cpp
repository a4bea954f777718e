/// \file
/// \brief Tests of new flows while targets of a service with a limit are cold:
/// single engines, and a fleet over a simulated network.

#include "BusiestSecond.h"
#include "FleetWorld.h"

#include <map>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \returns twoRoutes(), whose service "booking" limits its cold targets.
RouteTable
limitedRoutes(std::uint64_t version, double rate)
{
  RouteTable table = twoRoutes(version);
  table.services[0].warmupRate = rate;
  return table;
}

TargetChange
cold(std::uint64_t number,
     std::uint64_t revision,
     MilliDuration remaining,
     const std::string& zone = "a")
{
  TargetChange change = listed(number, revision, "booking", zone);
  change.record.remainingWarmup = remaining;
  return change;
}

/// \brief An engine alone with two targets, which may be cold.
struct ColdFixture : EngineFixture
{
  unsigned caller = 0;

  ColdFixture(double rate,
              const std::vector<TargetChange>& changes,
              TagPolicySettings policy = {})
    : EngineFixture(2, policy)
  {
    publishRoutes(this->engine, limitedRoutes(2, rate), this->now);
    changeTargets(this->engine, 200, changes, this->now);
    this->run(5300_ms);
    this->engine.takeEvents();
  }

  SteeringDecision openNext() { return this->open(flowOf(++this->caller)); }

  /// \returns how many of the next openings each target gets; refused ones
  /// count under the name of their reason.
  std::map<std::string, int> openMany(int count)
  {
    std::map<std::string, int> result;
    for (int i = 0; i < count; ++i) {
      const SteeringDecision decision = this->openNext();
      const bool isPlaced = decision.outcome == SteeringOutcome::forward;
      ++result[isPlaced ? this->idOf(decision)
                        : steeringReasonName(decision.reason)];
    }
    return result;
  }
};

std::vector<TargetChange>
twoCold()
{
  return { cold(1, 200, 30_s), cold(2, 200, 30_s) };
}

}

/// All targets of a service have just started: callers beyond the limit hear at
/// once that they are refused.
Test(slow_start_steering,
     beyond_the_limit_of_all_cold_targets_openings_are_reset)
{
  ColdFixture world(6, twoCold());
  const auto first = world.openMany(20);
  cr_assert_eq(first.at("t-1"), 3);
  cr_assert_eq(first.at("t-2"), 3);
  cr_assert_eq(first.at("warming_up"), 14);
  cr_assert(world.openNext().outcome == SteeringOutcome::reset);
  world.run(1200_ms);
  cr_assert_eq(world.openMany(20).at("warming_up"), 14);
  const auto refused = static_cast<std::size_t>(SteeringReason::warmingUp);
  cr_assert_eq(world.engine.board().counters.decisions[refused], 29);
}

/// All targets are cold and this instance's view is old: a warm target may have
/// joined.
Test(slow_start_steering, an_old_view_refuses_no_opening)
{
  ColdFixture world(6, twoCold());
  world.openMany(6);
  world.now = world.now + 500_ms;
  world.run(4_s, false);
  world.openMany(6);
  cr_assert(world.openNext().outcome == SteeringOutcome::drop);
}

/// One target has just started: it gets its limit, and the others the rest.
Test(slow_start_steering, warm_targets_get_what_a_cold_one_must_not)
{
  for (const bool byLoad : { true, false }) {
    TagPolicySettings policy;
    policy.byLoad = byLoad;
    ColdFixture world(8, { cold(1, 200, 30_s) }, policy);
    const auto placed = world.openMany(60);
    cr_assert_eq(placed.at("t-1"), 4);
    cr_assert_eq(placed.at("t-2"), 56);
  }
}

/// Callers repeat their openings while a cold target answers slowly.
Test(slow_start_steering, copies_of_an_opening_are_not_counted_again)
{
  ColdFixture world(4, { cold(1, 200, 30_s), gone(2, 200) });
  const FlowKey flow = flowOf(1);
  for (std::uint32_t copy = 0; copy < 4; ++copy) {
    const SteeringDecision decision = world.send(opening(flow, copy));
    cr_assert(decision.outcome == SteeringOutcome::forward);
  }
  cr_assert(world.send(opening(flowOf(2))).outcome == SteeringOutcome::forward);
  cr_assert(world.send(opening(flowOf(3))).reason == SteeringReason::warmingUp);
  cr_assert(world.send(opening(flow, 4)).reason == SteeringReason::openingCopy);
}

/// Callers keep their flows open: what these ask leaves less room for new ones.
Test(slow_start_steering, further_requests_of_open_flows_use_the_limit)
{
  ColdFixture world(6, { cold(1, 200, 30_s), gone(2, 200) });
  std::vector<std::pair<FlowKey, FlowTag>> flows;
  for (unsigned i = 1; i <= 3; ++i) {
    const FlowKey flow = flowOf(100 + i);
    const FlowTag tag = world.open(flow).tag;
    world.send(flowPacket(flow, tag, 1001, 1, 100));
    flows.emplace_back(flow, tag);
  }
  world.run(1200_ms);
  for (const auto& [flow, tag] : flows) {
    world.send(flowPacket(flow, tag, 1101, 500));
    world.send(flowPacket(flow, tag, 1101, 500, 50));
    world.send(flowPacket(flow, tag, 1151, 500, 50));
  }
  cr_assert_eq(world.openMany(5).at("warming_up"), 5);
  world.run(1200_ms);
  cr_assert_eq(world.openMany(5).at("t-1"), 3);
}

/// A target restarts within an instance's ticks: it is limited from its entry
/// on.
Test(slow_start_steering, a_target_that_has_just_become_cold_waits_for_a_tick)
{
  ColdFixture world(4, { gone(2, 200) });
  const std::vector<TargetChange> restarted{ cold(1, 300, 2_s) };
  changeTargets(world.engine, 300, restarted, world.now);
  cr_assert(world.openNext().reason == SteeringReason::warmingUp);
  world.run(100_ms);
  cr_assert(world.openNext().reason == SteeringReason::placed);
  world.run(2_s);
  cr_assert_eq(world.openMany(50).at("t-1"), 50, "warm");
}

/// A target becomes cold and warm again, and renews its entry in between:
/// operators see both.
Test(slow_start_steering, each_slow_start_is_logged_once)
{
  ColdFixture world(4, {});
  for (std::uint64_t i = 0; i < 3; ++i) {
    const MilliDuration left{ 3000 - 1000 * static_cast<std::int64_t>(i) };
    const std::vector<TargetChange> falling{ cold(1, 300 + i, left) };
    changeTargets(world.engine, 300 + i, falling, world.now);
    world.run(1_s);
  }
  world.run(1_s);
  std::vector<TagEventKind> kinds;
  for (const TagEvent& event : world.engine.takeEvents()) {
    if (event.kind == TagEventKind::slowStartBegan ||
        event.kind == TagEventKind::slowStartEnded) {
      cr_assert_eq(event.subject, "t-1");
      kinds.push_back(event.kind);
    }
  }
  const std::vector<TagEventKind> expected{ TagEventKind::slowStartBegan,
                                            TagEventKind::slowStartEnded };
  cr_assert(kinds == expected);
}

/// A service without a rate, and cold targets: every decision is the one that
/// warm targets get.
Test(slow_start_steering, without_a_rate_cold_targets_are_placed_like_warm_ones)
{
  ColdFixture warm(0, { listed(1, 200), listed(2, 200) });
  ColdFixture unlimited(0, twoCold());
  for (int i = 0; i < 200; ++i) {
    cr_assert_eq(warm.idOf(warm.openNext()),
                 unlimited.idOf(unlimited.openNext()));
  }
}

namespace {

/// \brief A fleet of which every instance opens flows without end.
struct ColdFleet : FleetWorld
{
  static constexpr double kRate = 16;
  std::map<TargetKey, std::vector<MilliTime>> placed;
  unsigned caller = 0;

  void loadCold(const Endpoint& address)
  {
    const std::vector<TargetChange> targets{ cold(1, 1, 60_s, "a"),
                                             cold(2, 2, 60_s, "b") };
    listTargets(this->at(address), 6, targets, this->now);
    publishRoutes(this->at(address), limitedRoutes(1, kRate), this->now);
  }

  void openAt(const Endpoint& address)
  {
    TagEngine& engine = this->at(address);
    for (int i = 0; i < 3; ++i) {
      const auto decision =
        engine.onPacket(opening(flowOf(++this->caller)), this->now);
      if (decision.reason == SteeringReason::placed) {
        const TargetKey key = engine.board().registry.at(decision.target).key;
        this->placed[key].push_back(this->now);
      }
    }
  }

  void load(MilliDuration span)
  {
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->run(20_ms);
      for (const auto& [address, engine] : this->engines) {
        this->openAt(address);
      }
    }
  }
};

}

/// Cold targets under more load than they bear, over the real messages between
/// instances, while some of these are cut off and new ones start.
Test(slow_start_steering, a_fleet_keeps_the_limit_and_uses_half_of_it)
{
  ColdFleet world;
  world.loss = 0.05;
  world.delay = 10_ms;
  world.addInThreeZones(12);
  for (const auto& [address, engine] : world.engines) {
    world.loadCold(address);
  }
  world.load(12_s);
  const std::size_t settled = world.placed.at(targetKeyOf("t-1")).size();
  world.load(5_s);
  cr_assert_geq(world.placed.at(targetKeyOf("t-1")).size(), settled + 4 * 8);
  world.disconnected[world.engines.begin()->first] = true;
  for (std::uint16_t port = 20; port < 23; ++port) {
    world.loadCold(world.add("a", port));
    world.load(2_s);
  }
  world.load(8_s);
  world.disconnected.clear();
  world.load(8_s);
  cr_assert_eq(world.placed.size(), 2);
  for (const auto& [target, times] : world.placed) {
    cr_assert_leq(busiestSecond(times), 16);
  }
}
