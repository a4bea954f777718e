/// \file
/// \brief Tests of the texts of /metrics and /status for an engine.

#include "TagFixture.h"

#include <Io>

#include <criterion/criterion.h>

using namespace buckthornwing;
using namespace buckthornwing::test;
using namespace buckthornwing::literals;

Test(report, a_view_that_was_never_confirmed_has_no_age)
{
  TagEngine engine(EngineFixture::settings({}, "entry-1", 1));
  const MilliTime now{ 100000 };
  const std::string metrics = formatTagMetrics(engine.board(), {}, now);
  cr_assert_eq(metrics.find("targets_age_milliseconds"), std::string::npos);
  const std::string status = formatTagStatus(engine.board(), {}, now);
  cr_assert_neq(status.find("\"targets_age_ms\":null"), std::string::npos);
}

Test(report, a_confirmed_view_shows_its_age)
{
  EngineFixture world;
  const MilliTime later = world.now + 250_ms;
  const std::string metrics = formatTagMetrics(world.engine.board(), {}, later);
  cr_assert_neq(metrics.find("buckthornwing_targets_age_milliseconds 250\n"),
                std::string::npos);
}

Test(report, cold_targets_are_shown)
{
  EngineFixture world;
  TargetChange cold = listed(1, 101);
  cold.record.remainingWarmup = 700_ms;
  changeTargets(world.engine, 101, std::span(&cold, 1), world.now);
  const auto metrics = [&](MilliTime at) {
    return formatTagMetrics(world.engine.board(), {}, at);
  };
  cr_assert(metrics(world.now).find("cold_targets 1\n") != std::string::npos);
  const std::string status =
    formatTagStatus(world.engine.board(), {}, world.now + 100_ms);
  const auto first = status.find("\"warm_in_ms\":600");
  cr_assert_neq(first, std::string::npos);
  cr_assert_eq(status.find("warm_in_ms", first + 5), std::string::npos);
  cr_assert(metrics(world.now + 700_ms).find("cold_targets 0\n") !=
            std::string::npos);
}

/// Operators watch which priorities an overload reaches.
Test(report, refusals_during_an_overload_are_shown_by_priority)
{
  TagBlackboard board(EngineFixture::settings({}, "entry-1", 1));
  const MilliTime now{ 100000 };
  cr_assert_eq(formatTagMetrics(board, {}, now).find("priority="),
               std::string::npos);
  cr_assert_neq(
    formatTagStatus(board, {}, now).find("\"overload_refusals\":{}"),
    std::string::npos);
  board.counters.refusedByPriority = { { 1, 3 }, { 2, 40 } };
  const std::string metrics = formatTagMetrics(board, {}, now);
  cr_assert_neq(
    metrics.find("# TYPE buckthornwing_overload_refusals_total counter\n"
                 "buckthornwing_overload_refusals_total{priority=\"1\"} 3\n"
                 "buckthornwing_overload_refusals_total{priority=\"2\"} 40\n"),
    std::string::npos);
  cr_assert_neq(formatTagStatus(board, {}, now)
                  .find("\"overload_refusals\":{\"1\":3,\"2\":40}"),
                std::string::npos);
}

Test(report, service_times_are_a_cumulative_histogram)
{
  EngineFixture world;
  const FlowKey flow = flowOf(1);
  const auto placed = world.open(flow);
  world.send(flowPacket(flow, placed.tag, 1000, 1, 100));
  world.now = world.now + 40_ms;
  world.send(flowPacket(flow, placed.tag, 1100, 500));
  const std::string metrics =
    formatTagMetrics(world.engine.board(), {}, world.now);
  const auto has = [&](const char* text) {
    return metrics.find(text) != std::string::npos;
  };
  cr_assert(has("buckthornwing_service_seconds_bucket{le=\"0.025\"} 0\n"));
  cr_assert(has("buckthornwing_service_seconds_bucket{le=\"0.05\"} 1\n"));
  cr_assert(has("buckthornwing_service_seconds_bucket{le=\"+Inf\"} 1\n"));
  cr_assert(has("buckthornwing_service_seconds_count 1\n"));
}
