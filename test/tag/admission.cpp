/// \file
/// \brief Tests of admission by priority: its decision, its effect in one
/// engine, and replays in which callers ask for more than the targets' room.

#include "LoadReplay.h"

#include <Admission>
#include <Steering>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr const char* kUrgent = "203.0.113.1:443";
constexpr const char* kLessUrgent = "203.0.113.1:444";

/// \returns a route's kind of request whose callers wait up to 3 s.
AdmissionRequest
requestBelow(std::size_t moreUrgent)
{
  return { 3000_ms, moreUrgent, std::nullopt };
}

/// \returns twoRoutes() with the service "booking" shared by a route of
/// priority 1 at port 443 and one of priority 2 at port 444.
RouteTable
priorityRoutes(std::uint64_t version)
{
  RouteTable table = twoRoutes(version);
  table.routes[0].priority = 1;
  Route lessUrgent = table.routes[0];
  lessUrgent.name = "booking-2";
  lessUrgent.priority = 2;
  lessUrgent.destination = *parseEndpoint(kLessUrgent);
  table.routes.push_back(std::move(lessUrgent));
  return table;
}

/// \brief An engine that knows two targets of three slots and its own load
/// only.
struct OverloadFixture : EngineFixture
{
  unsigned nextCaller = 0;
  std::vector<FlowKey> busyFlows;

  explicit OverloadFixture(TagPolicySettings policy = {})
    : EngineFixture(2, policy)
  {
    publishRoutes(this->engine, priorityRoutes(2), this->now);
    // An instance that has just started refuses nothing.
    this->run(3500_ms);
  }

  SteeringDecision openNext(const char* destination)
  {
    return this->send(opening(flowOf(++this->nextCaller, destination)));
  }

  /// \brief Opens flows of the urgent route and sends a request on each.
  void addRequests(std::size_t count)
  {
    for (std::size_t i = 0; i < count; ++i) {
      const FlowKey flow = flowOf(++this->nextCaller, kUrgent);
      const SteeringDecision placed = this->open(flow);
      if (placed.outcome == SteeringOutcome::forward) {
        this->send(flowPacket(flow, placed.tag, 1001, 1, 100));
        this->busyFlows.push_back(flow);
      }
    }
  }

  /// \returns how many of some openings are refused.
  int countRefused(const char* destination, int openings = 100)
  {
    int refused = 0;
    for (int i = 0; i < openings; ++i) {
      const FlowKey flow = flowOf(++this->nextCaller, destination);
      const auto decision = this->engine.previewOpening(flow, this->now);
      refused += decision.reason == SteeringReason::overloaded ? 1 : 0;
    }
    return refused;
  }

  /// \brief Queues requests until every less urgent opening is refused, and
  /// lets callers of both priorities ask.
  void overload(bool confirmed = true)
  {
    this->addRequests(6);
    this->openNext(kUrgent);
    this->openNext(kLessUrgent);
    for (int i = 0; i < 8; ++i) {
      this->addRequests(2);
      this->run(100_ms, confirmed);
    }
  }

  std::uint64_t refusedCount(std::uint32_t priority) const
  {
    const auto& counts = this->engine.board().counters.refusedByPriority;
    const auto found = counts.find(priority);
    return found == counts.end() ? 0 : found->second;
  }

  int countEvents(TagEventKind kind)
  {
    int count = 0;
    for (const TagEvent& event : this->engine.takeEvents()) {
      count += event.kind == kind ? 1 : 0;
    }
    return count;
  }
};

}

/// Load below the room: nothing waits.
Test(admission, nothing_is_refused_without_a_queue)
{
  for (std::size_t moreUrgent = 0; moreUrgent < 4; ++moreUrgent) {
    cr_assert_eq(refusalProbability(requestBelow(moreUrgent), { 0, 60.0 }), 0);
  }
}

/// A burst in which a queue grows until requests wait too long.
Test(admission, probability_rises_with_the_queue_to_1_at_the_limit)
{
  const AdmissionRequest request = requestBelow(1);
  const double limit = admissionLimit(request, { 1, 60.0 });
  double last = 0;
  for (double rounds = 0; rounds < limit; rounds += limit / 50) {
    const double next = refusalProbability(request, { rounds, 60.0 });
    cr_assert_geq(next, last);
    last = next;
  }
  cr_assert_eq(refusalProbability(request, { limit, 60.0 }), 1);
}

/// A burst of several priorities at once.
Test(admission, each_more_urgent_priority_halves_the_limit)
{
  for (std::size_t moreUrgent = 0; moreUrgent < 5; ++moreUrgent) {
    const double limit = admissionLimit(requestBelow(moreUrgent), { 1, 60.0 });
    const double next =
      admissionLimit(requestBelow(moreUrgent + 1), { 1, 60.0 });
    cr_assert_float_eq(2 * next, limit, 1e-9);
  }
}

/// Requests that would wait longer than their callers do.
Test(admission, a_timeout_bounds_the_wait_and_the_request_itself)
{
  const AdmissionRequest request{ 100_ms, 0, std::nullopt };
  cr_assert_float_eq(admissionLimit(request, { 1, 50.0 }), 1, 1e-9);
  cr_assert_eq(admissionLimit(request, { 1, 200.0 }), 0);
}

/// A burst of less urgent requests beside urgent ones with an objective.
Test(admission, less_urgent_requests_spend_a_quarter_of_the_objective)
{
  const AdmissionRequest request{ std::nullopt, 1, 200_ms };
  cr_assert_float_eq(admissionLimit(request, { 1, 100.0 }), 0.5, 1e-9);
  const AdmissionRequest mostUrgent{ std::nullopt, 0, 200_ms };
  cr_assert_gt(admissionLimit(mostUrgent, { 1, 100.0 }), 0.5);
}

/// A queue at targets whose requests were never seen to end.
Test(admission, an_unknown_service_time_leaves_the_limit_of_the_queue)
{
  const AdmissionRequest request{ 1_ms, 1, 1_ms };
  const double limit = admissionLimit(requestBelow(1), { 1, 1.0 });
  cr_assert_float_eq(admissionLimit(request, { 1, std::nullopt }), limit, 1e-9);
  cr_assert_float_eq(admissionLimit(request, { 1, 0.0 }), limit, 1e-9);
}

/// Any load, also absurd numbers from a peer.
Test(admission, a_probability_is_between_0_and_1)
{
  const bool holds = rc::check([] {
    const std::vector<double> odd{ std::numeric_limits<double>::quiet_NaN(),
                                   std::numeric_limits<double>::infinity(),
                                   -1.0,
                                   1e300,
                                   1e-300 };
    const auto number = [&odd] {
      return *rc::gen::oneOf(
        rc::gen::elementOf(odd),
        rc::gen::map(rc::gen::inRange(0, 100000),
                     [](int value) { return value / 1000.0; }));
    };
    AdmissionRequest request;
    request.moreUrgent = *rc::gen::arbitrary<std::size_t>();
    if (*rc::gen::arbitrary<bool>()) {
      request.timeout = MilliDuration{ *rc::gen::arbitrary<std::int64_t>() };
    }
    if (*rc::gen::arbitrary<bool>()) {
      request.urgentObjective =
        MilliDuration{ *rc::gen::arbitrary<std::int64_t>() };
    }
    ServiceQueue queue{ number(), std::nullopt };
    if (*rc::gen::arbitrary<bool>()) {
      queue.roundMs = number();
    }
    const double probability = refusalProbability(request, queue);
    RC_ASSERT(probability >= 0 && probability <= 1);
  });
  cr_assert(holds);
}

/// Callers of several priorities ask at once, one of them rarely.
Test(admission, a_priority_with_a_small_share_of_the_demand_is_not_counted)
{
  PriorityDemand demand;
  demand.add(1, true, MilliTime{ 1000 });
  for (int i = 0; i < 50; ++i) {
    demand.add(2, true, MilliTime{ 1000 });
    demand.add(3, true, MilliTime{ 1000 });
  }
  cr_assert_eq(demand.countMoreUrgent(1), 0);
  cr_assert_eq(demand.countMoreUrgent(2), 0);
  cr_assert_eq(demand.countMoreUrgent(3), 1);
  cr_assert_eq(demand.countMoreUrgent(9), 2);
}

/// A burst of less urgent requests that are refused and asked for again.
Test(admission, pressing_again_does_not_hide_the_more_urgent)
{
  PriorityDemand demand;
  for (int i = 0; i < 10; ++i) {
    demand.add(1, true, MilliTime{ 1000 });
    demand.add(2, true, MilliTime{ 1000 });
  }
  for (int i = 0; i < 1000; ++i) {
    demand.add(2, false, MilliTime{ 1000 });
  }
  cr_assert_eq(demand.countMoreUrgent(2), 1);
}

/// A burst of urgent requests that has ended.
Test(admission, demand_is_forgotten)
{
  PriorityDemand demand;
  for (int i = 0; i < 100; ++i) {
    demand.add(1, true, MilliTime{ 1000 });
  }
  demand.add(2, true, MilliTime{ 1000 });
  cr_assert_eq(demand.countMoreUrgent(2), 1);
  demand.add(2, true, MilliTime{ 60000 });
  cr_assert_eq(demand.countMoreUrgent(2), 0);
}

/// Demand while the clock stands still or goes back.
Test(admission, demand_is_counted_by_a_clock_that_does_not_move)
{
  PriorityDemand demand;
  for (const std::int64_t now : { 5000, 5000, 4000, -1 }) {
    demand.add(1, true, MilliTime{ now });
    demand.add(2, true, MilliTime{ now });
  }
  cr_assert_eq(demand.countMoreUrgent(2), 1);
}

/// Routes with absurdly many priorities.
Test(admission, more_priorities_than_are_told_apart_are_survived)
{
  PriorityDemand demand;
  for (std::uint32_t priority = 0; priority < 1000; ++priority) {
    demand.add(priority, true, MilliTime{ 1000 });
  }
  cr_assert_leq(demand.countMoreUrgent(1000), 64);
  demand.add(2000, true, MilliTime{ 60000 });
  cr_assert_eq(demand.countMoreUrgent(3000), 1);
}

/// Zones with free slots, with queues, and without targets.
Test(admission, rounds_are_counted_from_full_slots_on)
{
  cr_assert_not(ZoneQueue{}.rounds().has_value());
  cr_assert_eq(*(ZoneQueue{ 6, 6 }).rounds(), 0);
  cr_assert_eq(*(ZoneQueue{ 6, 12 }).rounds(), 1);
}

/// An overload of a service with one priority: nobody is more urgent.
Test(admission, a_service_with_one_priority_never_refuses)
{
  OverloadFixture fixture;
  publishRoutes(fixture.engine, twoRoutes(3), fixture.now);
  fixture.addRequests(60);
  fixture.run(500_ms);
  cr_assert_eq(fixture.countRefused(kUrgent), 0);
}

/// Two targets: one is full and its queue long, the other one has room.
Test(admission, nothing_is_refused_while_the_target_has_a_free_slot)
{
  OverloadFixture fixture;
  fixture.addRequests(5);
  fixture.run(500_ms);
  cr_assert_eq(fixture.countRefused(kLessUrgent), 0);
}

/// A zone is overloaded while another one idles.
Test(admission, nothing_is_refused_while_another_zone_has_room)
{
  OverloadFixture fixture;
  fixture.overload();
  cr_assert_eq(fixture.countRefused(kLessUrgent), 100);
  std::vector<TargetChange> changes;
  for (std::uint64_t number = 10; number < 16; ++number) {
    changes.push_back(listed(number, 100 + number, "booking", "b"));
  }
  changeTargets(fixture.engine, 200, changes, fixture.now);
  fixture.run(200_ms);
  cr_assert_eq(fixture.countRefused(kLessUrgent), 0);
}

/// A burst: the less urgent are refused before the more urgent.
Test(admission, the_less_urgent_are_refused_first)
{
  OverloadFixture fixture;
  fixture.overload();
  cr_assert_gt(fixture.countRefused(kLessUrgent),
               fixture.countRefused(kUrgent));
}

/// The part is off: everything is placed.
Test(admission, nothing_is_refused_without_the_part)
{
  OverloadFixture fixture({ .admitsByPriority = false });
  fixture.overload();
  cr_assert_eq(fixture.countRefused(kLessUrgent), 0);
}

/// A burst: "not run" must be true of a refused request.
Test(admission, a_refusal_is_a_reset_that_no_target_saw)
{
  OverloadFixture fixture;
  fixture.overload();
  const std::uint64_t urgentBefore = fixture.refusedCount(1);
  const std::uint64_t before = fixture.refusedCount(2);
  const FlowKey flow = flowOf(900, kLessUrgent);
  const SteeringDecision decision = fixture.send(opening(flow));
  cr_assert_eq(decision.outcome, SteeringOutcome::reset);
  cr_assert_eq(decision.reason, SteeringReason::overloaded);
  const FlowId id = flowIdOf(flow, fixture.engine.board().settings.tagSecret);
  cr_assert_null(fixture.engine.board().observer.find(id));
  cr_assert_eq(fixture.refusedCount(2), before + 1);
  cr_assert_eq(fixture.refusedCount(1), urgentBefore);
}

/// A burst while the store is unreachable.
Test(admission, an_old_view_drops_and_does_not_count_a_refusal)
{
  OverloadFixture fixture;
  fixture.run(4_s, false);
  fixture.overload(false);
  const std::uint64_t before = fixture.refusedCount(2);
  const FlowKey flow = flowOf(900, kLessUrgent);
  for (const std::uint32_t copy : { 0U, 1U, 2U }) {
    const SteeringDecision decision = fixture.send(opening(flow, copy));
    cr_assert_eq(decision.outcome, SteeringOutcome::drop);
    cr_assert_eq(decision.reason, SteeringReason::overloaded);
  }
  cr_assert_eq(fixture.refusedCount(2), before);
}

/// Tools that ask where a flow would go during an overload.
Test(admission, a_preview_counts_nothing)
{
  OverloadFixture fixture;
  fixture.overload();
  fixture.engine.takeEvents();
  cr_assert_gt(fixture.countRefused(kLessUrgent), 0);
  cr_assert_eq(fixture.refusedCount(2), 0);
  cr_assert_eq(fixture.countEvents(TagEventKind::overloadBegan), 0);
}

/// One overload, then another one.
Test(admission, an_overload_is_reported_once_at_its_begin_and_end)
{
  OverloadFixture fixture;
  for (int round = 0; round < 2; ++round) {
    fixture.overload();
    for (int i = 0; i < 20; ++i) {
      fixture.openNext(kLessUrgent);
      fixture.run(100_ms);
    }
    cr_assert_eq(fixture.countEvents(TagEventKind::overloadBegan), 1);
    fixture.run(4_s);
    cr_assert_eq(fixture.countEvents(TagEventKind::overloadEnded), 1);
    fixture.run(4_s);
    cr_assert_eq(fixture.countEvents(TagEventKind::overloadEnded), 0);
  }
}

/// A new configuration lists services in another order during an overload.
Test(admission, an_overload_stays_with_its_service)
{
  OverloadFixture fixture;
  fixture.overload();
  fixture.openNext(kLessUrgent);
  fixture.engine.takeEvents();
  RouteTable table = priorityRoutes(3);
  std::swap(table.services[0], table.services[1]);
  for (Route& route : table.routes) {
    route.services[0].service = 1 - route.services[0].service;
  }
  publishRoutes(fixture.engine, table, fixture.now);
  fixture.run(100_ms);
  cr_assert_eq(fixture.countRefused(kLessUrgent), 100);
  fixture.run(4_s);
  for (const TagEvent& event : fixture.engine.takeEvents()) {
    if (event.kind == TagEventKind::overloadEnded) {
      cr_assert_str_eq(event.subject.c_str(), "booking");
    }
  }
}

/// A caller's opening was forwarded before the burst; its copies follow.
Test(admission, a_copy_of_a_forwarded_opening_goes_to_its_target)
{
  OverloadFixture fixture;
  const FlowKey flow = flowOf(900, kLessUrgent);
  const SteeringDecision placed = fixture.send(opening(flow));
  cr_assert_eq(placed.outcome, SteeringOutcome::forward);
  fixture.overload();
  cr_assert_eq(fixture.countRefused(kLessUrgent), 100);
  const SteeringDecision copy = fixture.send(opening(flow, 1));
  cr_assert_eq(copy.outcome, SteeringOutcome::forward);
  cr_assert_eq(copy.target, placed.target);
}

namespace {

constexpr TagPolicySettings kWithoutAdmission{ .admitsByPriority = false };

/// Share of the room that must go to requests answered in time.
constexpr double kUsedRoom = 0.9;
/// Worth of a more urgent kind that alone fits the room.
constexpr double kUrgentWorth = 0.95;
/// Demand at which nothing may be refused.
constexpr double kFittingDemand = 0.9;

/// Demand of the priorities, in multiples of the room.
struct Demand
{
  double urgent = 0.45;
  double lessUrgent = 0.25;
  double burstOfUrgent = 0; ///< added during the burst
  double burstOfLessUrgent = 0;
};

/// \returns requests per second that targets which don't crash can answer.
double
roomOf(const LoadPattern& pattern)
{
  double targets = 0;
  for (std::size_t zone = pattern.evacuatedZones; zone < pattern.zones.size();
       ++zone) {
    targets += static_cast<double>(pattern.zones[zone].targets);
  }
  return targets * (1 - pattern.crashedShare) *
         static_cast<double>(pattern.slots) * 1000 /
         static_cast<double>(pattern.service.ms);
}

/// \brief Sets the callers that make a demand if they are answered at once.
void
setDemand(LoadPattern& pattern, const Demand& demand)
{
  const double period =
    static_cast<double>((pattern.pause + pattern.service).ms) / 1000;
  const double perRoom = roomOf(pattern) * period;
  const double steady = demand.urgent + demand.lessUrgent;
  const double burst = demand.burstOfUrgent + demand.burstOfLessUrgent;
  pattern.callers = static_cast<std::size_t>(steady * perRoom);
  pattern.urgentShare = demand.urgent / steady;
  pattern.burstCallers = static_cast<std::size_t>(burst * perRoom);
  pattern.burstUrgentShare = burst > 0 ? demand.burstOfUrgent / burst : 0;
}

/// \returns a burst from the third to the ninth second, where each request
/// opens a flow.
LoadPattern
burstPattern(const Demand& demand)
{
  LoadPattern pattern;
  pattern.zones = { { 4, 10 } };
  pattern.newFlowShare = 1;
  pattern.burstAt = 3000_ms;
  pattern.burstLength = 6000_ms;
  pattern.length = 12000_ms;
  setDemand(pattern, demand);
  return pattern;
}

/// \brief Outcome of a burst by the bar.
struct BurstOutcome
{
  double usedRoom = 0; ///< share of it for requests answered in time
  double urgentWorth = 0;
  int refused = 0;
};

BurstOutcome
play(LoadPattern pattern, TagPolicySettings policy)
{
  pattern.seed = 1;
  const LoadResult result = LoadReplay(pattern, policy).run();
  const double room =
    roomOf(pattern) * static_cast<double>(pattern.burstLength.ms) / 1000;
  const BurstOutcome outcome{
    (result.urgent.inTime + result.lessUrgent.inTime) / room,
    result.urgent.inTimeShare(),
    result.refusedOpenings
  };
  cr_log_info("used room %.3f; in time of urgent %.3f, less urgent %.3f; "
              "requests %d, %d; refused by instances %d, by targets %d",
              outcome.usedRoom,
              outcome.urgentWorth,
              result.lessUrgent.inTimeShare(),
              result.urgent.requests,
              result.lessUrgent.requests,
              result.refusedOpenings,
              result.refused);
  return outcome;
}

/// \brief Checks that admission improves the worth of urgent requests.
void
checkIsBetter(const LoadPattern& pattern)
{
  const BurstOutcome with = play(pattern, {});
  const BurstOutcome without = play(pattern, kWithoutAdmission);
  cr_assert_gt(with.urgentWorth, without.urgentWorth);
}

LoadPattern
lessUrgentBurst(double total)
{
  Demand demand;
  demand.burstOfLessUrgent = total - demand.urgent - demand.lessUrgent;
  return burstPattern(demand);
}

LoadPattern
burstOfAll(double total)
{
  const double more = total - Demand{}.urgent - Demand{}.lessUrgent;
  return burstPattern(
    { .burstOfUrgent = more / 2, .burstOfLessUrgent = more / 2 });
}

/// \returns 40 % of the targets lost while callers ask for 0.8 of the room;
/// the bounds speak of the room that is left.
LoadPattern
lossOfTargets()
{
  LoadPattern pattern = burstPattern({ .urgent = 0.5, .lessUrgent = 0.8 });
  pattern.crashedShare = 0.4;
  setDemand(pattern, { .urgent = 0.5, .lessUrgent = 0.83 });
  return pattern;
}

LoadPattern
evacuatedZoneInBurst()
{
  LoadPattern pattern = burstPattern({});
  pattern.zones = { { 2, 5 }, { 2, 5 }, { 2, 5 } };
  pattern.crossZoneDelay = 2_ms;
  pattern.evacuatedZones = 1;
  setDemand(pattern, { .burstOfLessUrgent = 1.8 });
  return pattern;
}

/// \returns an outage of all instances before a lasting burst.
LoadPattern
returnAfterOutage()
{
  LoadPattern pattern = lessUrgentBurst(2.5);
  pattern.outageAt = 2000_ms;
  pattern.outageLength = 1000_ms;
  pattern.startSpread = 300_ms;
  return pattern;
}

}

/// Burst of the less urgent kind at 1.5 times the room.
Test(admission, room_is_used_in_less_urgent_burst_at_1_5)
{
  cr_assert_geq(play(lessUrgentBurst(1.5), {}).usedRoom, kUsedRoom);
}

/// Burst of the less urgent kind at 1.5 times the room.
Test(admission, urgent_are_served_in_less_urgent_burst_at_1_5)
{
  cr_assert_geq(play(lessUrgentBurst(1.5), {}).urgentWorth, kUrgentWorth);
}

/// Burst of the less urgent kind at 1.5 times the room.
Test(admission, urgent_gain_in_less_urgent_burst_at_1_5)
{
  checkIsBetter(lessUrgentBurst(1.5));
}

/// Burst of the less urgent kind at 2.5 times the room.
Test(admission, room_is_used_in_less_urgent_burst_at_2_5)
{
  cr_assert_geq(play(lessUrgentBurst(2.5), {}).usedRoom, kUsedRoom);
}

/// Burst of the less urgent kind at 2.5 times the room.
Test(admission, urgent_are_served_in_less_urgent_burst_at_2_5)
{
  cr_assert_geq(play(lessUrgentBurst(2.5), {}).urgentWorth, kUrgentWorth);
}

/// Burst of the less urgent kind at 2.5 times the room.
Test(admission, urgent_gain_in_less_urgent_burst_at_2_5)
{
  checkIsBetter(lessUrgentBurst(2.5));
}

/// Burst of the less urgent kind at 5 times the room.
Test(admission, room_is_used_in_less_urgent_burst_at_5)
{
  cr_assert_geq(play(lessUrgentBurst(5), {}).usedRoom, kUsedRoom);
}

/// Burst of the less urgent kind at 5 times the room.
Test(admission, urgent_are_served_in_less_urgent_burst_at_5)
{
  cr_assert_geq(play(lessUrgentBurst(5), {}).urgentWorth, kUrgentWorth);
}

/// Burst of the less urgent kind at 5 times the room.
Test(admission, urgent_gain_in_less_urgent_burst_at_5)
{
  checkIsBetter(lessUrgentBurst(5));
}

/// Burst of both kinds at 2.5 times the room; neither fits it.
Test(admission, room_is_used_in_burst_of_all)
{
  cr_assert_geq(play(burstOfAll(2.5), {}).usedRoom, kUsedRoom);
}

/// Burst of both kinds at 2.5 times the room; neither fits it.
Test(admission, urgent_gain_in_burst_of_all)
{
  checkIsBetter(burstOfAll(2.5));
}

/// 40 % of the targets stop silently.
Test(admission, room_is_used_in_loss_of_targets)
{
  cr_assert_geq(play(lossOfTargets(), {}).usedRoom, kUsedRoom);
}

/// 40 % of the targets stop silently.
Test(admission, urgent_are_served_in_loss_of_targets)
{
  cr_assert_geq(play(lossOfTargets(), {}).urgentWorth, kUrgentWorth);
}

/// 40 % of the targets stop silently.
Test(admission, urgent_gain_in_loss_of_targets)
{
  checkIsBetter(lossOfTargets());
}

/// Burst at 2.5 times the room while a zone is evacuated.
Test(admission, room_is_used_in_evacuated_zone_in_a_burst)
{
  cr_assert_geq(play(evacuatedZoneInBurst(), {}).usedRoom, kUsedRoom);
}

/// Burst at 2.5 times the room while a zone is evacuated.
Test(admission, urgent_are_served_in_evacuated_zone_in_a_burst)
{
  cr_assert_geq(play(evacuatedZoneInBurst(), {}).urgentWorth, kUrgentWorth);
}

/// Burst at 2.5 times the room while a zone is evacuated.
Test(admission, urgent_gain_in_evacuated_zone_in_a_burst)
{
  checkIsBetter(evacuatedZoneInBurst());
}

/// All instances return into a burst at 2.5 times the room.
Test(admission, room_is_used_in_return_after_an_outage)
{
  cr_assert_geq(play(returnAfterOutage(), {}).usedRoom, kUsedRoom);
}

/// All instances return into a burst at 2.5 times the room.
Test(admission, urgent_are_served_in_return_after_an_outage)
{
  cr_assert_geq(play(returnAfterOutage(), {}).urgentWorth, kUrgentWorth);
}

/// All instances return into a burst at 2.5 times the room.
Test(admission, urgent_gain_in_return_after_an_outage)
{
  checkIsBetter(returnAfterOutage());
}

/// Load of nine tenths of the room, half of it less urgent.
Test(admission, nothing_is_refused_at_nine_tenths_of_the_room)
{
  const LoadPattern pattern = burstPattern(
    { .urgent = kFittingDemand / 2, .lessUrgent = kFittingDemand / 2 });
  cr_assert_eq(play(pattern, {}).refused, 0);
}

/// A queue at an instance that has just started and doesn't know the loads, as
/// after an outage of all instances.
Test(admission, an_instance_that_has_just_started_refuses_nothing)
{
  OverloadFixture fixture;
  fixture.overload();
  cr_assert_eq(fixture.countRefused(kLessUrgent), 100);
  EngineFixture started(2);
  publishRoutes(started.engine, priorityRoutes(2), started.now);
  started.run(500_ms);
  for (unsigned caller = 1; caller <= 60; ++caller) {
    const FlowKey flow = flowOf(caller, kUrgent);
    const SteeringDecision placed = started.open(flow);
    cr_assert_eq(placed.reason, SteeringReason::placed);
    started.send(flowPacket(flow, placed.tag, 1001, 1, 100));
  }
  started.run(500_ms);
  const auto decision =
    started.engine.previewOpening(flowOf(900, kLessUrgent), started.now);
  cr_assert_eq(decision.reason, SteeringReason::placed);
}
