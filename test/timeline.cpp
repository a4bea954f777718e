/// \file
/// \brief Tests of the Timeline module.

#include <Timeline>

#include <criterion/criterion.h>

#include <boost/json.hpp>

using namespace buckthornwing;

namespace {

/// \brief Unix time of 2026-10-05 12:00:37 UTC, in milliseconds.
constexpr std::int64_t kStartMs = 1791201637000;

/// \param ms time since \c kStartMs, in milliseconds
/// \param rest further JSON fields, each preceded by a comma
/// \returns a log line.
std::string
makeLine(std::int64_t ms,
         std::string_view instance,
         std::string_view event,
         std::string_view rest = {})
{
  return "{\"time_ms\":" + std::to_string(kStartMs + ms) + ",\"instance\":\"" +
         std::string(instance) + "\",\"event\":\"" + std::string(event) + "\"" +
         std::string(rest) + "}";
}

/// \returns a log line about a target.
std::string
makeTargetLine(std::int64_t ms,
               std::string_view instance,
               std::string_view event,
               std::string_view note,
               std::string_view target = "t-1")
{
  return makeLine(ms,
                  instance,
                  event,
                  ",\"subject\":\"" + std::string(target) + "\",\"note\":\"" +
                    std::string(note) + "\"");
}

/// \returns the log line of an instance's start, which names its zone.
std::string
makeStartLine(std::string_view instance, std::string_view zone)
{
  return makeLine(
    0, instance, "start", ",\"note\":\"zone " + std::string(zone) + "\"");
}

/// \returns a log line about the reset of a flow whose target is silent.
std::string
makeSilentResetLine(std::int64_t ms,
                    std::string_view instance,
                    std::string_view flow,
                    std::string_view target = "t-1")
{
  return makeLine(ms,
                  instance,
                  "reset",
                  ",\"reason\":\"target_silent\",\"flow\":\"" +
                    std::string(flow) + "\",\"target\":\"" +
                    std::string(target) + "\"");
}

TimelineReport
makeReport(std::initializer_list<std::string> lines)
{
  Timeline timeline;
  for (const std::string& line : lines) {
    timeline.addLine(line);
  }
  return timeline.finish();
}

bool
hasAnomaly(const TimelineReport& report, std::string_view description)
{
  const auto anomalies = findAnomalies(report);
  return std::any_of(
    anomalies.begin(), anomalies.end(), [&](const Anomaly& anomaly) {
      return anomaly.description == description;
    });
}

}

Test(timeline, parses_line_after_a_text_prefix)
{
  LogLineParser parser;
  const auto line =
    parser.parse("  12.5 entry-1 " +
                 makeTargetLine(3, "entry-1", "target_dead", "probes failed"));
  cr_assert(line.has_value());
  cr_assert(line->kind == LineKind::targetDead);
  cr_assert(line->time == MilliTime{ kStartMs + 3 });
  cr_assert(line->instance == "entry-1");
  cr_assert(line->subject == "t-1");
  cr_assert(line->note == "probes failed");
  cr_assert(!line->targetsAge.has_value());
}

Test(timeline, only_forward_with_reason_placed_is_a_placed_flow)
{
  LogLineParser parser;
  const std::string placed =
    makeLine(0, "e", "forward", ",\"reason\":\"placed\"");
  const std::string tagged =
    makeLine(0, "e", "forward", ",\"reason\":\"tagged\"");
  cr_assert(parser.parse(placed)->kind == LineKind::flowPlaced);
  cr_assert(parser.parse(tagged)->kind == LineKind::other);
}

Test(timeline, counts_malformed_lines)
{
  const TimelineReport report = makeReport({
    "",
    "no object",
    "{\"time_ms\":1",
    "{}",
    "[1]",
    "{\"time_ms\":\"1\",\"instance\":\"e\",\"event\":\"start\"}",
    "{\"time_ms\":-1,\"instance\":\"e\",\"event\":\"start\"}",
    "{\"time_ms\":9223372036854775807,\"instance\":\"e\",\"event\":\"start\"}",
    "{\"time_ms\":1,\"instance\":\"\",\"event\":\"start\"}",
    "{\"time_ms\":1,\"instance\":\"e\"}",
    makeLine(0, "e", "start") + " more",
    makeLine(0, "e", "start", ",\"note\":7"),
    makeLine(0, "e", "event_of_a_later_version"),
  });
  cr_assert_eq(report.malformed, 11U);
  cr_assert_eq(report.lines, 2U);
}

// The parser reuses one buffer: a malformed line, or one that is larger than
// the buffer, must not affect the next line.
Test(timeline, parser_is_reusable_after_malformed_and_large_lines)
{
  LogLineParser parser;
  cr_assert(!parser.parse("{\"time_ms\":1,"));
  const std::string note(60000, 'x');
  const std::string large =
    makeLine(1, "e", "store_lost", ",\"note\":\"" + note + "\"");
  cr_assert(parser.parse(large)->note == note);
  const std::string last = makeLine(2, "e", "store_regained");
  cr_assert(parser.parse(last)->kind == LineKind::storeRegained);
}

Test(timeline, counts_by_second_and_zone)
{
  const TimelineReport report = makeReport({
    makeStartLine("a-1", "a"),
    makeStartLine("a-2", "a"),
    makeStartLine("b-1", "b"),
    makeLine(10, "a-1", "forward", ",\"reason\":\"placed\""),
    makeLine(20, "a-2", "forward", ",\"reason\":\"placed\""),
    makeLine(20, "b-1", "forward", ",\"reason\":\"placed\""),
    makeLine(30, "a-1", "reset", ",\"reason\":\"no_route\""),
    makeLine(31, "a-1", "reset", ",\"reason\":\"no_route\""),
    makeLine(32, "a-1", "reset", ",\"reason\":\"target_gone\""),
    makeLine(33, "a-1", "hold", ",\"reason\":\"no_view\""),
    makeLine(1000, "a-1", "member_lost", ",\"subject\":\"b-1\""),
    makeLine(1001, "a-1", "member_joined", ",\"subject\":\"b-1\""),
    makeLine(1002, "a-2", "members_changed", ",\"note\":\"3 joined, 12 lost\""),
    makeLine(1003, "a-2", "members_changed", ",\"note\":\"3 joined\""),
    makeLine(1004, "a-1", "store_lost"),
    makeLine(1005, "a-1", "store_regained"),
    makeTargetLine(1006, "a-1", "target_probed", "silent"),
    makeTargetLine(1007, "a-1", "target_probed", "control: alive"),
    makeLine(1008, "a-1", "paused"),
  });
  cr_assert_eq(report.rows.size(), 3U);
  cr_assert_eq(report.rows[0].zone, "a");
  cr_assert_eq(report.rows[1].zone, "b");
  cr_assert(report.rows[0].second == MilliTime{ kStartMs });
  cr_assert(report.rows[2].second == MilliTime{ kStartMs + 1000 });
  const SecondCounts& first = report.rows[0].counts;
  cr_assert_eq(first.placedFlows, 2U);
  cr_assert_eq(first.resets.countOf("no_route"), 2U);
  cr_assert_eq(first.resets.countOf("target_gone"), 1U);
  cr_assert_eq(first.held, 1U);
  cr_assert_eq(report.rows[1].counts.placedFlows, 1U);
  const SecondCounts& second = report.rows[2].counts;
  cr_assert_eq(second.membersLost, 13U);
  cr_assert_eq(second.membersJoined, 4U);
  cr_assert_eq(second.storeLost, 1U);
  cr_assert_eq(second.storeRegained, 1U);
  cr_assert_eq(second.probes.countOf("silent"), 1U);
  cr_assert_eq(second.probes.countOf("control: alive"), 1U);
  cr_assert_eq(second.stalls, 1U);
}

// A view is stale if it is older than 3000 ms.
Test(timeline, counts_instance_with_stale_view_once_per_second)
{
  const auto makeLineWithAge =
    [](std::int64_t ms, const char* instance, int age) {
      return makeLine(ms,
                      instance,
                      "routes",
                      ",\"targets_age_ms\":0,\"routes_age_ms\":" +
                        std::to_string(age));
    };
  const TimelineReport report =
    makeReport({ makeStartLine("a-1", "a"),
                 makeStartLine("a-2", "a"),
                 makeLineWithAge(1, "a-1", 3001),
                 makeLineWithAge(2, "a-1", 4500),
                 makeLineWithAge(3, "a-2", 3100),
                 makeLineWithAge(1000, "a-1", 3000) });
  cr_assert_eq(report.rows[0].counts.staleViews, 2U);
  cr_assert_eq(report.rows[0].counts.maxViewAge.ms, 4500);
  cr_assert_eq(report.rows[1].counts.staleViews, 0U);
}

Test(timeline, counts_busy_links_and_stalls_separately)
{
  const TimelineReport report = makeReport({
    makeLine(1, "a", "traffic", ",\"backlog_ms\":40,\"tick_gap_ms\":100"),
    makeLine(2, "b", "traffic", ",\"backlog_ms\":0,\"tick_gap_ms\":900"),
    makeLine(3, "c", "traffic", ",\"backlog_ms\":70,\"tick_gap_ms\":251"),
    makeLine(4, "c", "traffic", ",\"backlog_ms\":0,\"tick_gap_ms\":100"),
  });
  cr_assert_eq(report.rows.size(), 1U);
  cr_assert_eq(report.rows[0].counts.busyLinks, 2U);
  cr_assert_eq(report.rows[0].counts.stalls, 2U);
  cr_assert_eq(report.rows[0].counts.maxBacklog.ms, 70);
}

// The zone of an instance is known only from its start line, which may come
// after other lines of the instance.
Test(timeline, counts_lines_before_the_first_start_in_its_zone)
{
  const TimelineReport report =
    makeReport({ makeLine(0, "a-1", "store_lost"),
                 makeStartLine("a-2", "a"),
                 makeLine(1, "a-2", "store_lost"),
                 makeStartLine("a-1", "a"),
                 makeLine(2, "a-1", "store_lost"),
                 makeLine(3, "unknown", "store_lost") });
  cr_assert_eq(report.rows.size(), 2U);
  cr_assert_eq(report.rows[0].zone, kUnknownZone);
  cr_assert_eq(report.rows[0].counts.storeLost, 1U);
  cr_assert_eq(report.rows[1].zone, "a");
  cr_assert_eq(report.rows[1].counts.storeLost, 3U);
}

// Each file is in order of time, but one file may begin before the previous
// file.
Test(timeline, accepts_files_of_instances_in_any_time_order)
{
  const TimelineReport report = makeReport({
    makeTargetLine(2000, "a-1", "target_dead", "probes failed"),
    makeTargetLine(900, "b-1", "target_trusted", "it answers"),
    makeTargetLine(0, "b-1", "target_suspected", "silent"),
  });
  cr_assert(report.rows[0].second < report.rows[1].second);
  cr_assert_eq(report.detections.size(), 1U);
  cr_assert_eq(report.detections[0].contradiction->offset.ms, -1100);
  cr_assert_eq(report.suspicions.size(), 1U);
  cr_assert_eq(report.suspicions[0].duration->ms, 900);
}

Test(timeline, reports_the_contradiction_closest_in_time)
{
  const TimelineReport report = makeReport({
    makeTargetLine(0, "b-1", "target_trusted", "it answers"),
    makeTargetLine(1400, "a-1", "target_dead", "probes failed"),
    makeTargetLine(1435, "b-2", "target_probed", "late: alive"),
    makeTargetLine(1600, "b-3", "target_trusted", "it answers"),
  });
  cr_assert_eq(report.detections.size(), 1U);
  const auto& contradiction = report.detections[0].contradiction;
  cr_assert(contradiction.has_value());
  cr_assert_eq(report.names.nameOf(contradiction->instance), "b-2");
  cr_assert_eq(contradiction->offset.ms, 35);
}

Test(timeline, ignores_contradictions_outside_the_time_window)
{
  const auto isContradictedAt = [](std::int64_t ms) {
    const TimelineReport report = makeReport({
      makeTargetLine(2000, "a-1", "target_dead", "probes failed"),
      makeTargetLine(ms, "b-1", "target_trusted", "it answers"),
    });
    return report.detections[0].contradiction.has_value();
  };
  cr_assert(isContradictedAt(500));
  cr_assert(isContradictedAt(3500));
  cr_assert(!isContradictedAt(499));
  cr_assert(!isContradictedAt(3501));
}

Test(timeline, same_instance_or_other_target_does_not_contradict)
{
  const TimelineReport report = makeReport({
    makeTargetLine(0, "a-1", "target_dead", "probes failed"),
    makeTargetLine(10, "a-1", "target_trusted", "it answers"),
    makeTargetLine(10, "b-1", "target_trusted", "it answers", "t-2"),
    makeTargetLine(10, "b-1", "target_probed", "refused"),
    makeTargetLine(10, "b-1", "target_suspected", "a caller sent data again"),
  });
  cr_assert(!report.detections[0].contradiction.has_value());
}

Test(timeline, lists_resets_caused_by_a_death_detection)
{
  const TimelineReport report = makeReport({
    makeSilentResetLine(989, "a-1", "too early"),
    makeSilentResetLine(999, "a-1", "logged just before"),
    makeTargetLine(1000, "a-1", "target_dead", "probes failed"),
    makeSilentResetLine(1100, "a-1", "last"),
    makeSilentResetLine(1101, "a-1", "too late"),
    makeSilentResetLine(1050, "b-1", "other instance"),
    makeSilentResetLine(1050, "a-1", "other target", "t-2"),
  });
  const DeathDetection& detection = report.detections.at(0);
  cr_assert_eq(detection.resetFlows.size(), 2U);
  cr_assert_eq(report.names.nameOf(detection.resetFlows[0]),
               "logged just before");
  cr_assert_eq(report.names.nameOf(detection.resetFlows[1]), "last");
}

Test(timeline, describes_an_anomaly_of_targets)
{
  const TimelineReport report = makeReport({
    makeStartLine("a-1", "a"),
    makeStartLine("b-1", "b"),
    makeTargetLine(100, "a-1", "target_suspected", "silent", "t-1"),
    makeTargetLine(100, "a-1", "target_suspected", "silent", "t-2"),
    makeTargetLine(200, "a-1", "target_suspected", "silent", "t-3"),
    makeTargetLine(200, "a-1", "target_trusted", "it answers", "t-1"),
    makeTargetLine(220, "a-1", "target_trusted", "it answers", "t-2"),
    makeTargetLine(330, "a-1", "target_trusted", "it answers", "t-3"),
    makeTargetLine(1100, "a-1", "target_dead", "probes failed", "t-4"),
    makeTargetLine(1135, "b-1", "target_trusted", "it answers", "t-4"),
    makeLine(9000, "a-1", "stop"),
  });
  cr_assert(hasAnomaly(
    report,
    "12:00:37 to 12:00:38 zone a: 3 targets suspected, all trusted again "
    "within 130 ms; 1 target found dead, trusted by another instance within "
    "35 ms"));
}

Test(timeline, describes_targets_that_were_not_trusted_again)
{
  const TimelineReport report = makeReport({
    makeStartLine("a-1", "a"),
    makeTargetLine(100, "a-1", "target_suspected", "silent", "t-1"),
    makeTargetLine(100, "a-1", "target_suspected", "silent", "t-2"),
    makeTargetLine(200, "a-1", "target_dead", "probes failed", "t-2"),
    makeSilentResetLine(201, "a-1", "flow", "t-2"),
    makeTargetLine(250, "a-1", "target_trusted", "it answers", "t-1"),
    makeLine(9000, "a-1", "stop"),
  });
  cr_assert(hasAnomaly(
    report,
    "12:00:37 zone a: 2 targets suspected, 1 trusted again within 150 ms; 1 "
    "target found dead, trusted by no other instance, 1 reset at once"));
  cr_assert(hasAnomaly(report, "12:00:37 zone a: 1 reset for target_silent"));
}

// Resets for a missing route also occur in normal operation: 20 in each second
// are no anomaly, but more than three times the median are.
Test(timeline, reports_only_seconds_far_above_the_baseline)
{
  Timeline timeline;
  for (std::int64_t second = 0; second < 20; ++second) {
    const int resets = second == 10 ? 61 : 20;
    for (int i = 0; i < resets; ++i) {
      timeline.addLine(makeLine(
        second * 1000 + i, "a-1", "reset", ",\"reason\":\"no_route\""));
    }
  }
  const auto anomalies = findAnomalies(timeline.finish());
  cr_assert_eq(anomalies.size(), 1U);
  cr_assert_eq(anomalies[0].description,
               "12:00:47 zone ?: 61 resets for no_route");
}

// Stale views have no baseline: they must be reported even if they last for the
// whole log.
Test(timeline, reports_stale_views_in_every_second_as_an_anomaly)
{
  Timeline timeline;
  for (std::int64_t second = 0; second < 20; ++second) {
    timeline.addLine(
      makeLine(second * 1000, "a-1", "routes", ",\"targets_age_ms\":4000"));
  }
  const auto anomalies = findAnomalies(timeline.finish());
  cr_assert_eq(anomalies.size(), 1U);
  cr_assert_eq(anomalies[0].description,
               "12:00:37 to 12:00:56 zone ?: views behind by up to 4000 ms");
}

Test(timeline, reports_anomalies_in_a_log_too_short_for_a_baseline)
{
  const TimelineReport report =
    makeReport({ makeTargetLine(0, "a-1", "target_dead", "probes failed") });
  cr_assert(hasAnomaly(report,
                       "12:00:37 zone ?: 1 target found dead, trusted by no "
                       "other instance"));
}

Test(timeline, joins_anomalous_seconds_within_the_maximum_gap)
{
  const TimelineReport report =
    makeReport({ makeLine(0, "a", "store_lost"),
                 makeLine(2000, "a", "store_lost"),
                 makeLine(5000, "a", "store_lost"),
                 makeLine(5900, "a", "store_regained"),
                 makeLine(30000, "a", "stop") });
  const auto anomalies = findAnomalies(report);
  cr_assert_eq(anomalies.size(), 2U);
  cr_assert_eq(anomalies[0].description,
               "12:00:37 to 12:00:39 zone ?: store lost 2 times, back 0 times");
  cr_assert_eq(anomalies[1].description,
               "12:00:42 zone ?: store lost 1 time, back 1 time");
}

Test(timeline, formats_death_detections)
{
  const TimelineReport report = makeReport({
    makeStartLine("a-1", "a"),
    makeStartLine("b-1", "b"),
    makeTargetLine(41, "a-1", "target_dead", "probes failed"),
    makeSilentResetLine(42, "a-1", "tcp 1"),
    makeTargetLine(50, "a-1", "target_dead", "refused", "t-2"),
    makeTargetLine(76, "b-1", "target_probed", "alive"),
  });
  cr_assert_eq(formatDeathDetection(report, report.detections[0]),
               "12:00:37.041 a-1 (zone a) found t-1 dead (probes failed); "
               "contradicted: b-1 (zone b) heard of it 35 ms after; 1 reset: "
               "[tcp 1]");
  cr_assert_eq(formatDeathDetection(report, report.detections[1]),
               "12:00:37.050 a-1 (zone a) found t-2 dead (refused); not "
               "contradicted");
}

Test(timeline, aligns_rows_with_the_table_header)
{
  const TimelineReport report =
    makeReport({ makeStartLine("a-1", "a"),
                 makeLine(1, "a-1", "reset", ",\"reason\":\"no_view\""),
                 makeTargetLine(2, "a-1", "target_probed", "silent") });
  const std::string row = formatRow(report.rows[0]);
  cr_assert(row.starts_with("12:00:37 a "));
  cr_assert(row.ends_with("  no_view=1 | silent=1"));
  cr_assert_eq(formatTableHeader().find("  resets"), row.find("  no_view=1"));
  cr_assert_eq(formatDate(report.rows[0].second), "2026-10-05");
}

Test(timeline, converts_to_json)
{
  const TimelineReport report = makeReport({
    makeStartLine("a-1", "a"),
    makeTargetLine(41, "a-1", "target_dead", "probes failed"),
    makeSilentResetLine(42, "a-1", "tcp 1"),
    makeTargetLine(76, "b-1", "target_probed", "alive"),
  });
  const boost::json::object row = toJson(report.rows.back());
  cr_assert_eq(row.at("zone").as_string(), "a");
  cr_assert_eq(row.at("targets_dead").to_number<int>(), 1);
  cr_assert_eq(row.at("resets").at("target_silent").to_number<int>(), 1);
  const boost::json::object death = toJson(report, report.detections[0]);
  cr_assert(death.at("contradicted").as_bool());
  cr_assert_eq(death.at("contradicted_by").as_string(), "b-1");
  cr_assert_eq(death.at("contradicted_offset_ms").to_number<int>(), 35);
  cr_assert_eq(death.at("reset_flows").at(0).as_string(), "tcp 1");
  const auto anomalies = findAnomalies(report);
  cr_assert_eq(toJson(anomalies.at(0)).at("zone").as_string(), "a");
}

Test(timeline, draws_each_zone)
{
  const TimelineReport report = makeReport({
    makeStartLine("a-1", "a"),
    makeStartLine("b-1", "<b>"),
    makeLine(1, "a-1", "store_lost"),
    makeLine(1001, "b-1", "store_lost"),
    makeLine(1002, "b-1", "store_lost"),
  });
  const std::string svg = drawTimelineSvg(report);
  cr_assert(svg.starts_with("<svg "));
  cr_assert(svg.ends_with("</svg>\n"));
  cr_assert(svg.find("zone a</text>") != std::string::npos);
  cr_assert(svg.find("zone &lt;b&gt;</text>") != std::string::npos);
  cr_assert(svg.find("<title>12:00:37 store lost 1<") != std::string::npos);
  cr_assert(svg.find("<title>12:00:38 store lost 2<") != std::string::npos);
}

// A day has 86400 seconds; several seconds share one column of the image.
Test(timeline, limits_the_columns_of_a_long_log)
{
  Timeline timeline;
  for (std::int64_t second = 0; second < 86400; second += 60) {
    timeline.addLine(makeLine(second * 1000, "a-1", "store_lost"));
  }
  const std::string svg = drawTimelineSvg(timeline.finish());
  std::size_t columns = 0;
  for (std::size_t at = svg.find("<title>"); at != std::string::npos;
       at = svg.find("<title>", at + 1)) {
    ++columns;
  }
  cr_assert_gt(columns, 300U);
  cr_assert_leq(columns, 600U);
}

Test(timeline, draws_an_empty_svg_without_rows)
{
  cr_assert(drawTimelineSvg(Timeline().finish()).starts_with("<svg "));
}

Test(timeline, timeline_is_empty_after_finish)
{
  Timeline timeline;
  timeline.addLine(makeTargetLine(0, "a", "target_dead", "probes failed"));
  cr_assert_eq(timeline.finish().rows.size(), 1U);
  const TimelineReport report = timeline.finish();
  cr_assert(report.rows.empty());
  cr_assert(report.detections.empty());
  cr_assert(findAnomalies(report).empty());
  timeline.addLine(makeLine(0, "b", "start"));
  cr_assert_eq(timeline.finish().rows.size(), 1U);
}
