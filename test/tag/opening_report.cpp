/// \file
/// \brief Tests of the preview of a decision about an opening, and of its
/// report.

#include <boost/json.hpp>

#include "TagFixture.h"

#include <Io>

#include <boost/leaf.hpp>
#include <criterion/criterion.h>

using namespace buckthornwing;
using namespace buckthornwing::test;
using namespace buckthornwing::literals;

namespace {

bool
isAccepted(const char* target)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<bool> {
      BOOST_LEAF_AUTO(flow, parseExplainQuery(target));
      cr_assert_eq(formatFlowKey(flow),
                   "tcp 198.51.100.1:1025 203.0.113.1:443");
      return true;
    },
    [](const Error& error) {
      cr_assert_eq(error.cause, "expected address:port");
      return false;
    },
    [] { return false; });
}

/// \brief An engine whose service "booking" has routes of the priorities 0 and
/// 2, a limit for cold targets, one cold target, and an evacuated zone.
struct OverloadFixture : EngineFixture
{
  static constexpr const char* kLessUrgent = "203.0.113.1:9443";

  OverloadFixture()
    : EngineFixture(2)
  {
    RouteTable table = twoRoutes(200);
    table.services[0].warmupRate = 10;
    Route lessUrgent = table.routes[0];
    lessUrgent.name = "booking-batch";
    lessUrgent.destination = *parseEndpoint(kLessUrgent);
    lessUrgent.priority = 2;
    table.routes.push_back(lessUrgent);
    publishRoutes(this->engine, std::move(table), this->now);
    TargetChange cold = listed(3, 201);
    cold.record.remainingWarmup = 60_s;
    changeTargets(this->engine, 201, std::span(&cold, 1), this->now);
    const EvacuationChange evacuated{ "c", { 0, 201 }, false };
    this->engine.onEvacuationListing(
      { positionAt(201), std::span(&evacuated, 1) }, this->now);
    // An instance that has just started refuses nothing.
    this->run(3500_ms);
  }

  /// \brief Lets callers of both priorities open flows and send a request that
  /// is not answered, and waits for the next tick.
  void overload(unsigned callers)
  {
    for (unsigned caller = 1; caller <= callers; ++caller) {
      const char* destination = caller % 2 == 0 ? kLessUrgent : kUrgent;
      const FlowKey flow = flowOf(caller, destination);
      const SteeringDecision placed = this->open(flow);
      if (placed.reason == SteeringReason::placed) {
        this->send(flowPacket(flow, placed.tag, 1000, 1, 100));
      }
    }
    this->run(100_ms);
  }

  std::string report(const FlowKey& flow) const
  {
    return formatOpeningReport(this->engine, flow, this->now);
  }

private:
  static constexpr const char* kUrgent = "203.0.113.1:443";
};

boost::json::object
parsed(const std::string& report)
{
  return boost::json::parse(report).as_object();
}

}

/// Load of equal callers: a preview that used other logic, or counted itself as
/// load, would name other targets than the openings then get.
Test(opening_report, a_preview_is_what_the_opening_then_gets)
{
  EngineFixture world;
  for (unsigned client = 1; client <= 200; ++client) {
    const FlowKey flow = flowOf(client);
    const SteeringDecision first = world.engine.previewOpening(flow, world.now);
    const SteeringDecision again = world.engine.previewOpening(flow, world.now);
    const SteeringDecision placed = world.open(flow);
    cr_assert_eq(first.target, placed.target);
    cr_assert_eq(again.target, placed.target);
    cr_assert_eq(first.tag.bits, placed.tag.bits);
    cr_assert_eq(first.reason, SteeringReason::placed);
  }
}

/// An operator may ask at any rate during an overload.
Test(opening_report, a_report_changes_nothing)
{
  EngineFixture world;
  world.open(flowOf(1));
  world.engine.takeEvents();
  world.engine.takeOutgoing();
  const auto textOf = [&] {
    return formatTagMetrics(world.engine.board(), {}, world.now) +
           formatTagStatus(world.engine.board(), {}, world.now);
  };
  const std::string before = textOf();
  Random random = world.engine.board().random;
  for (unsigned client = 1; client <= 20; ++client) {
    formatOpeningReport(world.engine, flowOf(client), world.now);
    formatOpeningReport(
      world.engine, flowOf(client, "203.0.113.9:1"), world.now);
  }
  cr_assert_eq(textOf(), before);
  Random after = world.engine.board().random;
  cr_assert_eq(after.below(1000000), random.below(1000000));
  cr_assert(world.engine.takeEvents().empty());
  cr_assert(world.engine.takeOutgoing().empty());
  cr_assert(world.engine.takeProbes().empty());
}

Test(opening_report, the_report_names_route_service_and_candidates)
{
  EngineFixture world;
  const std::string report =
    formatOpeningReport(world.engine, flowOf(1), world.now + 40_ms);
  for (const char* part : { "\"outcome\":\"forward\"",
                            "\"reason\":\"placed\"",
                            "\"service\":\"booking\"",
                            "\"targets_age_ms\":40",
                            "\"id\":\"t-4\",\"zone\":\"a\"" }) {
    cr_assert_neq(report.find(part), std::string::npos, "%s", report.c_str());
  }
  const std::string unknown =
    formatOpeningReport(world.engine, flowOf(1, "203.0.113.9:1"), world.now);
  cr_assert_neq(unknown.find("\"reason\":\"no_route\""), std::string::npos);
  TagEngine starting(EngineFixture::settings({}, "entry-1", 1));
  cr_assert_neq(formatOpeningReport(starting, flowOf(1), world.now)
                  .find("\"reason\":\"no_view\""),
                std::string::npos);
}

/// Callers ask for several times the room of a service, while one of its
/// targets is cold and a zone is evacuated.
Test(opening_report, the_report_names_what_excludes_or_refuses)
{
  OverloadFixture world;
  world.overload(30);
  const FlowKey flow = flowOf(900, OverloadFixture::kLessUrgent);
  const boost::json::object report = parsed(world.report(flow));
  cr_assert_eq(report.at("reason").as_string(), "overloaded");
  cr_assert_eq(boost::json::serialize(report.at("evacuated_zones")), "[\"c\"]");
  const boost::json::object& admission = report.at("admission").as_object();
  cr_assert_gt(admission.at("queued_rounds").as_double(), 0);
  cr_assert_eq(admission.at("refusal_probability").as_double(), 1);
  std::size_t excluded = 0;
  for (const boost::json::value& each : report.at("candidates").as_array()) {
    const boost::json::object& candidate = each.as_object();
    cr_assert_eq(candidate.at("relative_service_time").as_double(), 1);
    const bool isCold = candidate.at("id").as_string() == "t-3";
    cr_assert_eq(candidate.contains("warm_in_ms"), isCold);
    cr_assert_eq(candidate.contains("excluded"), isCold);
    if (isCold) {
      cr_assert_eq(candidate.at("excluded").as_string(), "warming_up");
      ++excluded;
    }
  }
  cr_assert_eq(excluded, 1);
  const boost::json::object other =
    parsed(world.report(flowOf(900, "203.0.113.1:8443")));
  cr_assert(other.at("admission").at("queued_rounds").is_null());
}

/// An operator who asks again and again during an overload must not make it
/// longer, use up a cold target's allowance, or count as demand.
Test(opening_report, a_report_leaves_admission_and_slow_start_alone)
{
  OverloadFixture asked;
  OverloadFixture silent;
  for (OverloadFixture* world : { &asked, &silent }) {
    world->run(5300_ms);
    world->overload(12);
    world->engine.takeEvents();
  }
  for (unsigned client = 100; client < 300; ++client) {
    asked.report(flowOf(client));
    asked.report(flowOf(client, OverloadFixture::kLessUrgent));
  }
  cr_assert(asked.engine.takeEvents().empty());
  cr_assert_eq(asked.engine.board().counters.refusedByPriority,
               silent.engine.board().counters.refusedByPriority);
  for (unsigned client = 300; client < 340; ++client) {
    const FlowKey flow = flowOf(client, OverloadFixture::kLessUrgent);
    cr_assert_eq(asked.report(flow), silent.report(flow));
    const SteeringDecision left = asked.open(flow);
    const SteeringDecision right = silent.open(flow);
    cr_assert_eq(left.reason, right.reason);
    cr_assert_eq(left.target, right.target);
  }
}

Test(opening_report, a_query_without_both_addresses_is_refused)
{
  cr_assert(isAccepted(
    "/explain?caller=198.51.100.1:1025&destination=203.0.113.1:443"));
  for (const char* target : { "/explain",
                              "/explain?destination=203.0.113.1:443",
                              "/explain?caller=198.51.100.1:1025",
                              "/explain?destination=x&caller=y",
                              "/explain?destination=&caller=",
                              "/explain?destination=203.0.113.1&caller=1:2" }) {
    cr_assert_not(isAccepted(target), "%s", target);
  }
}
