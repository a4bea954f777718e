/// \file
/// \brief Tests of the Timeline module.

#include <Timeline>

#include <criterion/criterion.h>

#include <boost/json.hpp>

using namespace buckthornwing;

namespace {

/// \brief 2026-10-05 12:00:37 UTC.
constexpr std::int64_t kStartMs = 1791201637000;

/// \param rest further fields, each with a comma before it
std::string
lineOf(std::int64_t ms,
       std::string_view instance,
       std::string_view event,
       std::string_view rest = {})
{
  return "{\"time_ms\":" + std::to_string(kStartMs + ms) + ",\"instance\":\"" +
         std::string(instance) + "\",\"event\":\"" + std::string(event) + "\"" +
         std::string(rest) + "}";
}

std::string
beliefOf(std::int64_t ms,
         std::string_view instance,
         std::string_view event,
         std::string_view note,
         std::string_view target = "t-1")
{
  return lineOf(ms,
                instance,
                event,
                ",\"subject\":\"" + std::string(target) + "\",\"note\":\"" +
                  std::string(note) + "\"");
}

std::string
startOf(std::string_view instance, std::string_view zone)
{
  return lineOf(
    0, instance, "start", ",\"note\":\"zone " + std::string(zone) + "\"");
}

std::string
silentResetOf(std::int64_t ms,
              std::string_view instance,
              std::string_view flow,
              std::string_view target = "t-1")
{
  return lineOf(ms,
                instance,
                "reset",
                ",\"reason\":\"target_silent\",\"flow\":\"" +
                  std::string(flow) + "\",\"target\":\"" + std::string(target) +
                  "\"");
}

TimelineReport
reportOf(std::initializer_list<std::string> lines)
{
  Timeline timeline;
  for (const std::string& line : lines) {
    timeline.addLine(line);
  }
  return timeline.finish();
}

bool
hasSentence(const TimelineReport& report, std::string_view sentence)
{
  const auto spells = findSpells(report);
  return std::any_of(spells.begin(), spells.end(), [&](const Spell& spell) {
    return spell.sentence == sentence;
  });
}

}

Test(timeline, parses_a_line_behind_a_prefix)
{
  LogLineParser parser;
  const auto line = parser.parse(
    "  12.5 entry-1 " + beliefOf(3, "entry-1", "target_dead", "probes failed"));
  cr_assert(line.has_value());
  cr_assert(line->kind == LineKind::targetDead);
  cr_assert(line->time == MilliTime{ kStartMs + 3 });
  cr_assert(line->instance == "entry-1");
  cr_assert(line->subject == "t-1");
  cr_assert(line->note == "probes failed");
  cr_assert(!line->targetsAge.has_value());
}

Test(timeline, tells_openings_from_other_forwards)
{
  LogLineParser parser;
  const std::string placed =
    lineOf(0, "e", "forward", ",\"reason\":\"placed\"");
  const std::string tagged =
    lineOf(0, "e", "forward", ",\"reason\":\"tagged\"");
  cr_assert(parser.parse(placed)->kind == LineKind::opening);
  cr_assert(parser.parse(tagged)->kind == LineKind::other);
}

Test(timeline, counts_malformed_lines)
{
  const TimelineReport report = reportOf({
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
    lineOf(0, "e", "start") + " more",
    lineOf(0, "e", "start", ",\"note\":7"),
    lineOf(0, "e", "an_event_of_later_days"),
  });
  cr_assert_eq(report.malformed, 11U);
  cr_assert_eq(report.lines, 2U);
}

Test(timeline, parses_after_a_malformed_and_a_large_line)
{
  LogLineParser parser;
  cr_assert(!parser.parse("{\"time_ms\":1,"));
  const std::string note(60000, 'x');
  const std::string large =
    lineOf(1, "e", "store_lost", ",\"note\":\"" + note + "\"");
  cr_assert(parser.parse(large)->note == note);
  const std::string last = lineOf(2, "e", "store_regained");
  cr_assert(parser.parse(last)->kind == LineKind::storeRegained);
}

Test(timeline, counts_by_second_and_zone)
{
  const TimelineReport report = reportOf({
    startOf("a-1", "a"),
    startOf("a-2", "a"),
    startOf("b-1", "b"),
    lineOf(10, "a-1", "forward", ",\"reason\":\"placed\""),
    lineOf(20, "a-2", "forward", ",\"reason\":\"placed\""),
    lineOf(20, "b-1", "forward", ",\"reason\":\"placed\""),
    lineOf(30, "a-1", "reset", ",\"reason\":\"no_route\""),
    lineOf(31, "a-1", "reset", ",\"reason\":\"no_route\""),
    lineOf(32, "a-1", "reset", ",\"reason\":\"target_gone\""),
    lineOf(33, "a-1", "hold", ",\"reason\":\"no_view\""),
    lineOf(1000, "a-1", "member_lost", ",\"subject\":\"b-1\""),
    lineOf(1001, "a-1", "member_joined", ",\"subject\":\"b-1\""),
    lineOf(1002, "a-2", "members_changed", ",\"note\":\"3 joined, 12 lost\""),
    lineOf(1003, "a-2", "members_changed", ",\"note\":\"3 joined\""),
    lineOf(1004, "a-1", "store_lost"),
    lineOf(1005, "a-1", "store_regained"),
    beliefOf(1006, "a-1", "target_probed", "silent"),
    beliefOf(1007, "a-1", "target_probed", "control: alive"),
    lineOf(1008, "a-1", "paused"),
  });
  cr_assert_eq(report.rows.size(), 3U);
  cr_assert_eq(report.rows[0].zone, "a");
  cr_assert_eq(report.rows[1].zone, "b");
  cr_assert(report.rows[0].second == MilliTime{ kStartMs });
  cr_assert(report.rows[2].second == MilliTime{ kStartMs + 1000 });
  const SecondCounts& first = report.rows[0].counts;
  cr_assert_eq(first.openings, 2U);
  cr_assert_eq(first.resets.countOf("no_route"), 2U);
  cr_assert_eq(first.resets.countOf("target_gone"), 1U);
  cr_assert_eq(first.held, 1U);
  cr_assert_eq(report.rows[1].counts.openings, 1U);
  const SecondCounts& second = report.rows[2].counts;
  cr_assert_eq(second.membersLost, 13U);
  cr_assert_eq(second.membersBack, 4U);
  cr_assert_eq(second.storeLost, 1U);
  cr_assert_eq(second.storeBack, 1U);
  cr_assert_eq(second.probes.countOf("silent"), 1U);
  cr_assert_eq(second.probes.countOf("control: alive"), 1U);
  cr_assert_eq(second.stalls, 1U);
}

Test(timeline, counts_each_instance_behind_once_a_second)
{
  const auto withAges = [](std::int64_t ms, const char* instance, int age) {
    return lineOf(ms,
                  instance,
                  "routes",
                  ",\"targets_age_ms\":0,\"routes_age_ms\":" +
                    std::to_string(age));
  };
  const TimelineReport report = reportOf({ startOf("a-1", "a"),
                                           startOf("a-2", "a"),
                                           withAges(1, "a-1", 3001),
                                           withAges(2, "a-1", 4500),
                                           withAges(3, "a-2", 3100),
                                           withAges(1000, "a-1", 3000) });
  cr_assert_eq(report.rows[0].counts.viewsBehind, 2U);
  cr_assert_eq(report.rows[0].counts.mostViewAge.ms, 4500);
  cr_assert_eq(report.rows[1].counts.viewsBehind, 0U);
}

Test(timeline, tells_busy_links_from_stalls)
{
  const TimelineReport report = reportOf({
    lineOf(1, "a", "traffic", ",\"backlog_ms\":40,\"tick_gap_ms\":100"),
    lineOf(2, "b", "traffic", ",\"backlog_ms\":0,\"tick_gap_ms\":900"),
    lineOf(3, "c", "traffic", ",\"backlog_ms\":70,\"tick_gap_ms\":251"),
    lineOf(4, "c", "traffic", ",\"backlog_ms\":0,\"tick_gap_ms\":100"),
  });
  cr_assert_eq(report.rows.size(), 1U);
  cr_assert_eq(report.rows[0].counts.busyLinks, 2U);
  cr_assert_eq(report.rows[0].counts.stalls, 2U);
  cr_assert_eq(report.rows[0].counts.mostBacklog.ms, 70);
}

Test(timeline, gives_lines_before_a_start_to_its_zone)
{
  const TimelineReport report =
    reportOf({ lineOf(0, "a-1", "store_lost"),
               startOf("a-2", "a"),
               lineOf(1, "a-2", "store_lost"),
               startOf("a-1", "a"),
               lineOf(2, "a-1", "store_lost"),
               lineOf(3, "unknown", "store_lost") });
  cr_assert_eq(report.rows.size(), 2U);
  cr_assert_eq(report.rows[0].zone, kUnknownZone);
  cr_assert_eq(report.rows[0].counts.storeLost, 1U);
  cr_assert_eq(report.rows[1].zone, "a");
  cr_assert_eq(report.rows[1].counts.storeLost, 3U);
}

Test(timeline, sorts_lines_of_files_given_in_any_order)
{
  const TimelineReport report = reportOf({
    beliefOf(2000, "a-1", "target_dead", "probes failed"),
    beliefOf(900, "b-1", "target_trusted", "it answers"),
    beliefOf(0, "b-1", "target_suspected", "silent"),
  });
  cr_assert(report.rows[0].second < report.rows[1].second);
  cr_assert_eq(report.verdicts.size(), 1U);
  cr_assert_eq(report.verdicts[0].contradiction->offset.ms, -1100);
  cr_assert_eq(report.suspicions.size(), 1U);
  cr_assert_eq(report.suspicions[0].lasted->ms, 900);
}

Test(timeline, finds_the_nearest_contradiction)
{
  const TimelineReport report = reportOf({
    beliefOf(0, "b-1", "target_trusted", "it answers"),
    beliefOf(1400, "a-1", "target_dead", "probes failed"),
    beliefOf(1435, "b-2", "target_probed", "late: alive"),
    beliefOf(1600, "b-3", "target_trusted", "it answers"),
  });
  cr_assert_eq(report.verdicts.size(), 1U);
  const auto& contradiction = report.verdicts[0].contradiction;
  cr_assert(contradiction.has_value());
  cr_assert_eq(report.names.nameOf(contradiction->instance), "b-2");
  cr_assert_eq(contradiction->offset.ms, 35);
}

Test(timeline, takes_a_contradiction_within_its_time_only)
{
  const auto contradictedBy = [](std::int64_t ms) {
    const TimelineReport report = reportOf({
      beliefOf(2000, "a-1", "target_dead", "probes failed"),
      beliefOf(ms, "b-1", "target_trusted", "it answers"),
    });
    return report.verdicts[0].contradiction.has_value();
  };
  cr_assert(contradictedBy(500));
  cr_assert(contradictedBy(3500));
  cr_assert(!contradictedBy(499));
  cr_assert(!contradictedBy(3501));
}

Test(timeline, is_not_contradicted_by_itself_or_about_other_targets)
{
  const TimelineReport report = reportOf({
    beliefOf(0, "a-1", "target_dead", "probes failed"),
    beliefOf(10, "a-1", "target_trusted", "it answers"),
    beliefOf(10, "b-1", "target_trusted", "it answers", "t-2"),
    beliefOf(10, "b-1", "target_probed", "refused"),
    beliefOf(10, "b-1", "target_suspected", "a caller sent data again"),
  });
  cr_assert(!report.verdicts[0].contradiction.has_value());
}

Test(timeline, lists_the_resets_of_a_verdict)
{
  const TimelineReport report = reportOf({
    silentResetOf(989, "a-1", "too early"),
    silentResetOf(999, "a-1", "logged just before"),
    beliefOf(1000, "a-1", "target_dead", "probes failed"),
    silentResetOf(1100, "a-1", "last"),
    silentResetOf(1101, "a-1", "too late"),
    silentResetOf(1050, "b-1", "other instance"),
    silentResetOf(1050, "a-1", "other target", "t-2"),
  });
  const DeathVerdict& verdict = report.verdicts.at(0);
  cr_assert_eq(verdict.resetFlows.size(), 2U);
  cr_assert_eq(report.names.nameOf(verdict.resetFlows[0]),
               "logged just before");
  cr_assert_eq(report.names.nameOf(verdict.resetFlows[1]), "last");
}

Test(timeline, describes_a_spell_of_targets_in_a_sentence)
{
  const TimelineReport report = reportOf({
    startOf("a-1", "a"),
    startOf("b-1", "b"),
    beliefOf(100, "a-1", "target_suspected", "silent", "t-1"),
    beliefOf(100, "a-1", "target_suspected", "silent", "t-2"),
    beliefOf(200, "a-1", "target_suspected", "silent", "t-3"),
    beliefOf(200, "a-1", "target_trusted", "it answers", "t-1"),
    beliefOf(220, "a-1", "target_trusted", "it answers", "t-2"),
    beliefOf(330, "a-1", "target_trusted", "it answers", "t-3"),
    beliefOf(1100, "a-1", "target_dead", "probes failed", "t-4"),
    beliefOf(1135, "b-1", "target_trusted", "it answers", "t-4"),
    lineOf(9000, "a-1", "stop"),
  });
  cr_assert(hasSentence(
    report,
    "12:00:37 to 12:00:38 zone a: 3 targets suspected, all trusted again "
    "within 130 ms; 1 target found dead, trusted by another instance within "
    "35 ms"));
}

Test(timeline, tells_which_targets_were_not_trusted_again)
{
  const TimelineReport report = reportOf({
    startOf("a-1", "a"),
    beliefOf(100, "a-1", "target_suspected", "silent", "t-1"),
    beliefOf(100, "a-1", "target_suspected", "silent", "t-2"),
    beliefOf(200, "a-1", "target_dead", "probes failed", "t-2"),
    silentResetOf(201, "a-1", "flow", "t-2"),
    beliefOf(250, "a-1", "target_trusted", "it answers", "t-1"),
    lineOf(9000, "a-1", "stop"),
  });
  cr_assert(hasSentence(
    report,
    "12:00:37 zone a: 2 targets suspected, 1 trusted again within 150 ms; 1 "
    "target found dead, trusted by no other instance, 1 reset at once"));
  cr_assert(hasSentence(report, "12:00:37 zone a: 1 reset for target_silent"));
}

Test(timeline, names_no_spell_in_what_is_usual)
{
  Timeline timeline;
  for (std::int64_t second = 0; second < 20; ++second) {
    const int resets = second == 10 ? 61 : 20;
    for (int i = 0; i < resets; ++i) {
      timeline.addLine(
        lineOf(second * 1000 + i, "a-1", "reset", ",\"reason\":\"no_route\""));
    }
  }
  const auto spells = findSpells(timeline.finish());
  cr_assert_eq(spells.size(), 1U);
  cr_assert_eq(spells[0].sentence, "12:00:47 zone ?: 61 resets for no_route");
}

Test(timeline, names_what_lasts_through_the_whole_log)
{
  Timeline timeline;
  for (std::int64_t second = 0; second < 20; ++second) {
    timeline.addLine(
      lineOf(second * 1000, "a-1", "routes", ",\"targets_age_ms\":4000"));
  }
  const auto spells = findSpells(timeline.finish());
  cr_assert_eq(spells.size(), 1U);
  cr_assert_eq(spells[0].sentence,
               "12:00:37 to 12:00:56 zone ?: views behind by up to 4000 ms");
}

Test(timeline, names_spells_of_a_short_log)
{
  const TimelineReport report =
    reportOf({ beliefOf(0, "a-1", "target_dead", "probes failed") });
  cr_assert(hasSentence(report,
                        "12:00:37 zone ?: 1 target found dead, trusted by no "
                        "other instance"));
}

Test(timeline, joins_seconds_that_are_close)
{
  const TimelineReport report = reportOf({ lineOf(0, "a", "store_lost"),
                                           lineOf(2000, "a", "store_lost"),
                                           lineOf(5000, "a", "store_lost"),
                                           lineOf(5900, "a", "store_regained"),
                                           lineOf(30000, "a", "stop") });
  const auto spells = findSpells(report);
  cr_assert_eq(spells.size(), 2U);
  cr_assert_eq(spells[0].sentence,
               "12:00:37 to 12:00:39 zone ?: store lost 2 times, back 0 times");
  cr_assert_eq(spells[1].sentence,
               "12:00:42 zone ?: store lost 1 time, back 1 time");
}

Test(timeline, formats_verdicts)
{
  const TimelineReport report = reportOf({
    startOf("a-1", "a"),
    startOf("b-1", "b"),
    beliefOf(41, "a-1", "target_dead", "probes failed"),
    silentResetOf(42, "a-1", "tcp 1"),
    beliefOf(50, "a-1", "target_dead", "refused", "t-2"),
    beliefOf(76, "b-1", "target_probed", "alive"),
  });
  cr_assert_eq(formatVerdict(report, report.verdicts[0]),
               "12:00:37.041 a-1 (zone a) found t-1 dead (probes failed); "
               "contradicted: b-1 (zone b) heard of it 35 ms after; 1 reset: "
               "[tcp 1]");
  cr_assert_eq(formatVerdict(report, report.verdicts[1]),
               "12:00:37.050 a-1 (zone a) found t-2 dead (refused); not "
               "contradicted");
}

Test(timeline, formats_rows_under_their_head)
{
  const TimelineReport report =
    reportOf({ startOf("a-1", "a"),
               lineOf(1, "a-1", "reset", ",\"reason\":\"no_view\""),
               beliefOf(2, "a-1", "target_probed", "silent") });
  const std::string row = formatRow(report.rows[0]);
  cr_assert(row.starts_with("12:00:37 a "));
  cr_assert(row.ends_with("  no_view=1 | silent=1"));
  cr_assert_eq(formatTableHead().find("  resets"), row.find("  no_view=1"));
  cr_assert_eq(formatDate(report.rows[0].second), "2026-10-05");
}

Test(timeline, converts_to_json)
{
  const TimelineReport report = reportOf({
    startOf("a-1", "a"),
    beliefOf(41, "a-1", "target_dead", "probes failed"),
    silentResetOf(42, "a-1", "tcp 1"),
    beliefOf(76, "b-1", "target_probed", "alive"),
  });
  const boost::json::object row = toJson(report.rows.back());
  cr_assert_eq(row.at("zone").as_string(), "a");
  cr_assert_eq(row.at("targets_dead").to_number<int>(), 1);
  cr_assert_eq(row.at("resets").at("target_silent").to_number<int>(), 1);
  const boost::json::object death = toJson(report, report.verdicts[0]);
  cr_assert(death.at("contradicted").as_bool());
  cr_assert_eq(death.at("contradicted_by").as_string(), "b-1");
  cr_assert_eq(death.at("contradicted_offset_ms").to_number<int>(), 35);
  cr_assert_eq(death.at("reset_flows").at(0).as_string(), "tcp 1");
  const auto spells = findSpells(report);
  cr_assert_eq(toJson(spells.at(0)).at("zone").as_string(), "a");
}

Test(timeline, draws_each_zone)
{
  const TimelineReport report = reportOf({
    startOf("a-1", "a"),
    startOf("b-1", "<b>"),
    lineOf(1, "a-1", "store_lost"),
    lineOf(1001, "b-1", "store_lost"),
    lineOf(1002, "b-1", "store_lost"),
  });
  const std::string picture = drawTimeline(report);
  cr_assert(picture.starts_with("<svg "));
  cr_assert(picture.ends_with("</svg>\n"));
  cr_assert(picture.find("zone a</text>") != std::string::npos);
  cr_assert(picture.find("zone &lt;b&gt;</text>") != std::string::npos);
  cr_assert(picture.find("<title>12:00:37 store lost 1<") != std::string::npos);
  cr_assert(picture.find("<title>12:00:38 store lost 2<") != std::string::npos);
}

Test(timeline, draws_a_long_log_in_few_columns)
{
  Timeline timeline;
  for (std::int64_t second = 0; second < 86400; second += 60) {
    timeline.addLine(lineOf(second * 1000, "a-1", "store_lost"));
  }
  const std::string picture = drawTimeline(timeline.finish());
  std::size_t columns = 0;
  for (std::size_t at = picture.find("<title>"); at != std::string::npos;
       at = picture.find("<title>", at + 1)) {
    ++columns;
  }
  cr_assert_gt(columns, 300U);
  cr_assert_leq(columns, 600U);
}

Test(timeline, draws_nothing_of_nothing)
{
  cr_assert(drawTimeline(Timeline().finish()).starts_with("<svg "));
}

Test(timeline, is_empty_after_finish)
{
  Timeline timeline;
  timeline.addLine(beliefOf(0, "a", "target_dead", "probes failed"));
  cr_assert_eq(timeline.finish().rows.size(), 1U);
  const TimelineReport report = timeline.finish();
  cr_assert(report.rows.empty());
  cr_assert(report.verdicts.empty());
  cr_assert(findSpells(report).empty());
  timeline.addLine(lineOf(0, "b", "start"));
  cr_assert_eq(timeline.finish().rows.size(), 1U);
}
