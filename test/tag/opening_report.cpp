/// \file
/// \brief Tests of the preview of a decision about an opening, and of its
/// report.

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
