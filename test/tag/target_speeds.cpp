/// \file
/// \brief Tests of the estimated service times of targets, their comparison and
/// their exchange between instances.

#include "TagFixture.h"

#include <Io>
#include <Observation>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr MilliTime kStart{ 100000 };

/// \brief Adds samples that are spread by half around a mean, one a second.
/// \returns the time after the last one
MilliTime
addSamples(ServiceTimeEstimator& estimator,
           std::int64_t meanMs,
           int count,
           MilliTime now)
{
  constexpr std::array kPercent{ 60, 140, 100, 80, 120 };
  for (int i = 0; i < count; ++i) {
    const auto percent = kPercent[static_cast<std::size_t>(i) % 5];
    estimator.add(MilliDuration{ meanMs * percent / 100 }, now);
    now = now + 1_s;
  }
  return now;
}

}

/// Answers requests of which a few take many times longer than the others.
Test(target_speeds, few_long_requests_hardly_change_an_estimate)
{
  ServiceTimeEstimator estimator;
  const MilliTime now = addSamples(estimator, 50, 18, kStart);
  const double before = estimator.estimate(now).ms;
  estimator.add(350_ms, now);
  estimator.add(350_ms, now);
  cr_assert_leq(estimator.estimate(now).ms, before * 1.3);
}

/// Answers a target that changes its speed in mid-day.
Test(target_speeds, a_change_is_noticed_within_some_tens_of_samples)
{
  for (const std::int64_t meanMs : { 20, 120 }) {
    ServiceTimeEstimator estimator;
    MilliTime now = addSamples(estimator, 50, 100, kStart);
    const double before = estimator.estimate(now).ms;
    now = addSamples(estimator, meanMs, 20, now);
    const double expected = before * static_cast<double>(meanMs) / 50;
    cr_assert_float_eq(estimator.estimate(now).ms, expected, expected / 5);
  }
}

/// Equal targets of a service with short and long requests, of which each
/// target runs another mix.
Test(target_speeds, a_mix_of_short_and_long_requests_is_no_speed)
{
  RequestKindTimes times;
  std::array<ServiceTimeEstimator, 3> targets;
  MilliTime now = kStart;
  for (int i = 0; i < 600; ++i) {
    const std::size_t target = static_cast<std::size_t>(i) % 3;
    const bool isLong = i / 3 % 4 < static_cast<int>(target);
    const MilliDuration average =
      isLong ? times.toAverage(RouteKind::idempotent, 55_ms)
             : times.toAverage(RouteKind::download, 5_ms);
    targets[target].add(average, now);
    now = now + 100_ms;
  }
  std::array<ServiceTimeEstimate, 3> estimates;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    estimates[i] = targets[i].estimate(now);
  }
  for (const ServiceTimeEstimate& estimate : estimates) {
    cr_assert_eq(relativeServiceTime(estimate, medianServiceMs(estimates), 1),
                 1);
  }
}

/// Requests of one kind only.
Test(target_speeds, times_of_one_kind_stay_as_they_are)
{
  RequestKindTimes times;
  for (const std::int64_t ms : { 50, 350, 20, 51 }) {
    const MilliDuration took{ ms };
    cr_assert(times.toAverage(RouteKind::nonIdempotent, took) == took);
  }
}

Test(target_speeds, evidence_decreases_with_time)
{
  ServiceTimeEstimator estimator;
  cr_assert_eq(estimator.estimate(kStart).evidence, 0);
  const MilliTime now = addSamples(estimator, 50, 20, kStart);
  const ServiceTimeEstimate later = estimator.estimate(now + 300_s);
  cr_assert_lt(later.evidence, 1);
}

Test(target_speeds, combined_estimates_are_weighted_by_their_evidence)
{
  const ServiceTimeEstimate none;
  const ServiceTimeEstimate known{ 40, 10 };
  cr_assert(combine(none, known) == known);
  cr_assert(combine(known, none) == known);
  cr_assert_float_eq(combine({ 20, 10 }, { 80, 10 }).ms, 40, 0.001);
  cr_assert_gt(combine({ 20, 10 }, { 80, 30 }).ms, 50);
}

Test(target_speeds, the_median_needs_two_targets_with_enough_evidence)
{
  const std::array<ServiceTimeEstimate, 3> one{ { { 20, 50 }, { 90, 2 }, {} } };
  cr_assert_not(medianServiceMs(one).has_value());
  const std::array<ServiceTimeEstimate, 4> three{
    { { 20, 50 }, { 90, 50 }, { 1, 2 }, { 30, 50 } }
  };
  cr_assert_eq(*medianServiceMs(three), 30);
}

Test(target_speeds, a_factor_needs_evidence_and_a_clear_difference)
{
  cr_assert_eq(relativeServiceTime({ 100, 100 }, 40, 1), 2.5);
  cr_assert_eq(relativeServiceTime({ 16, 100 }, 40, 1), 0.4);
  cr_assert_eq(relativeServiceTime({ 100, 5 }, 40, 1), 1, "little evidence");
  cr_assert_eq(relativeServiceTime({ 48, 100 }, 40, 1), 1, "chance");
  cr_assert_eq(relativeServiceTime({ 100, 100 }, std::nullopt, 2), 1);
  cr_assert_eq(relativeServiceTime({ 6, 100 }, 3, 1), 1, "too short to matter");
}

Test(target_speeds, a_target_returns_to_1_later_than_it_leaves_it)
{
  const ServiceTimeEstimate between{ 55, 100 };
  cr_assert_eq(relativeServiceTime(between, 40, 1), 1);
  cr_assert_gt(relativeServiceTime(between, 40, 2), 1);
  cr_assert_eq(relativeServiceTime({ 44, 100 }, 40, 2), 1);
}

Test(target_speeds, any_estimate_has_a_plausible_factor)
{
  cr_assert(rc::check("factor", [](std::int32_t ms, std::uint16_t evidence) {
    const double factor = relativeServiceTime(
      { static_cast<double>(std::abs(ms / 2)), static_cast<double>(evidence) },
      40,
      1);
    RC_ASSERT(factor >= 0.25 && factor <= 8);
  }));
}

namespace {

/// \brief Opens a flow and lets its first request be answered.
void
serveRequest(EngineFixture& world, unsigned client, MilliDuration took)
{
  const FlowKey flow = flowOf(client);
  const auto placed = world.open(flow);
  world.send(flowPacket(flow, placed.tag, 1000, 1, 100));
  world.now = world.now + took;
  world.send(flowPacket(flow, placed.tag, 1100, 500));
  CallerPacket end = flowPacket(flow, placed.tag, 1100, 500);
  end.isFinish = true;
  world.send(end);
}

/// \returns a world with one target of which the speed is known.
EngineFixture
observedWorld()
{
  EngineFixture world(1);
  serveRequest(world, 1, 40_ms);
  world.run(6_s);
  for (unsigned client = 2; client < 22; ++client) {
    serveRequest(world, client, 40_ms);
  }
  return world;
}

}

Test(target_speeds, the_speed_of_a_target_is_forgotten_with_its_incarnation)
{
  EngineFixture world = observedWorld();
  const auto evidence = [&] {
    return world.engine.board()
      .observer.load(0)
      .serviceTime.estimate(world.now)
      .evidence;
  };
  cr_assert_eq(evidence(), 20);
  TargetChange draining = listed(1, 101, "booking", "a", TargetState::draining);
  changeTargets(world.engine, 101, std::span(&draining, 1), world.now);
  cr_assert_gt(evidence(), 19, "the same process");
  TargetChange restarted = listed(1, 102);
  restarted.record.incarnation = 5;
  changeTargets(world.engine, 102, std::span(&restarted, 1), world.now);
  cr_assert_eq(evidence(), 0);
}

/// Answers a request that found a queue, and one that was sent again: their
/// times say nothing of the target's speed.
Test(target_speeds, only_undisturbed_requests_are_samples)
{
  EngineFixture world = observedWorld();
  const auto count = [&] {
    return world.engine.board().counters.retransmissions;
  };
  const auto ms = [&] {
    return serviceTimeOf(world.engine.board().observer.load(0), world.now).ms;
  };
  const double before = ms();
  const FlowKey flow = flowOf(50);
  const auto placed = world.open(flow);
  for (unsigned i = 0; i < 25; ++i) {
    const std::uint32_t at = 1000 + 100 * i;
    world.send(flowPacket(flow, placed.tag, at, 1 + i, 100));
    world.now = world.now + 400_ms;
    world.send(flowPacket(flow, placed.tag, at, 1 + i, 100));
    world.send(flowPacket(flow, placed.tag, at + 100, 2 + i));
  }
  cr_assert_eq(count(), 25);
  cr_assert_eq(ms(), before);
  for (unsigned client = 60; client < 63; ++client) {
    world.open(flowOf(client));
  }
  for (unsigned client = 100; client < 125; ++client) {
    serveRequest(world, client, 400_ms);
  }
  cr_assert_eq(ms(), before);
}

namespace {

/// \brief Passes one peer's reports of the service times of the targets t-1 to
/// t-4 to an engine.
void
reportSpeeds(EngineFixture& world,
             std::uint16_t peer,
             std::span<const double> serviceMs)
{
  FleetMessage message;
  message.sender.id = "entry-" + std::to_string(peer);
  message.sender.zone = "a";
  message.sender.address = *parseEndpoint("127.0.0.1:1");
  message.sender.address.port = peer;
  FleetHeartbeat heartbeat;
  for (std::size_t i = 0; i < serviceMs.size(); ++i) {
    TargetReport report;
    report.target = targetKeyOf("t-" + std::to_string(i + 1)).shortened();
    report.serviceMs = serviceMs[i];
    heartbeat.reports.push_back(report);
  }
  message.body = heartbeat;
  world.engine.onFleetMessage(message, world.now);
}

/// \brief Passes the reports of 8 peers, two of which report absurd values.
void
reportSpeedsOfAllPeers(EngineFixture& world, std::span<const double> serviceMs)
{
  const std::array absurd{ -1e300, 1e300, 0.0, 1e300 };
  for (std::uint16_t peer = 11; peer < 17; ++peer) {
    reportSpeeds(world, peer, serviceMs);
  }
  reportSpeeds(world, 17, absurd);
  reportSpeeds(world, 18, absurd);
}

double
factorOf(const EngineFixture& world, const char* id)
{
  const TagBlackboard& board = world.engine.board();
  return board.observer.load(board.registry.find(id)).relativeServiceTime;
}

std::vector<TagEvent>
takeSpeedEvents(EngineFixture& world)
{
  std::vector<TagEvent> events = world.engine.takeEvents();
  std::erase_if(events, [](const TagEvent& event) {
    return event.kind != TagEventKind::targetSpeed;
  });
  return events;
}

}

/// Answers an instance that alone sees too few requests of each target.
Test(target_speeds, peers_reports_set_the_factor_and_are_logged_once)
{
  EngineFixture world;
  const std::array uneven{ 30.0, 30.0, 30.0, 75.0 };
  for (int i = 0; i < 10; ++i) {
    reportSpeedsOfAllPeers(world, uneven);
    world.run(1_s);
  }
  cr_assert_eq(factorOf(world, "t-1"), 1);
  cr_assert_eq(factorOf(world, "t-4"), 2.5);
  const auto events = takeSpeedEvents(world);
  cr_assert_eq(events.size(), 1);
  cr_assert_eq(events[0].subject, "t-4");
  cr_assert_eq(events[0].milliseconds, 75);
  cr_assert_eq(events[0].note, "slower, 2.50 times the median of 30.0 ms");
  const std::string status =
    formatTagStatus(world.engine.board(), {}, world.now);
  cr_assert_neq(status.find("\"relative_service_time\":2.5E0"),
                std::string::npos);
  world.run(8_s);
  cr_assert_eq(factorOf(world, "t-4"), 1, "the reports have expired");
}

/// Answers reports that swing: events and changes of a class are bounded.
Test(target_speeds, a_class_changes_at_most_every_5_s)
{
  EngineFixture world;
  const std::array uneven{ 30.0, 30.0, 30.0, 75.0 };
  const std::array even{ 30.0, 30.0, 30.0, 30.0 };
  for (int i = 0; i < 60; ++i) {
    reportSpeedsOfAllPeers(world, i % 2 == 0 ? uneven : even);
    world.run(500_ms);
  }
  cr_assert_leq(takeSpeedEvents(world).size(), 7);
}

Test(target_speeds, reports_change_nothing_without_the_policy_part)
{
  EngineFixture world(4, { .weighsSpeeds = false });
  const std::array uneven{ 30.0, 30.0, 30.0, 75.0 };
  for (int i = 0; i < 10; ++i) {
    reportSpeedsOfAllPeers(world, uneven);
    world.run(1_s);
  }
  cr_assert_eq(factorOf(world, "t-4"), 1);
  cr_assert(takeSpeedEvents(world).empty());
}

/// Answers a target whose requests take 2.5 times longer: it gets about 2.5
/// times fewer flows.
Test(target_speeds, a_slower_target_counts_as_one_with_fewer_slots)
{
  EngineFixture world;
  const std::array uneven{ 30.0, 30.0, 30.0, 75.0 };
  reportSpeedsOfAllPeers(world, uneven);
  world.run(400_ms);
  for (unsigned client = 0; client < 170; ++client) {
    world.send(opening(flowOf(client)));
  }
  const TagBlackboard& board = world.engine.board();
  const int slow = board.observer.load(board.registry.find("t-4")).flows;
  cr_assert_geq(slow, 17);
  cr_assert_leq(slow, 23);
}
