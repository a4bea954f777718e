/// \file
/// \brief Tests of the Config module: selectors, configuration documents,
/// lookup tables and differences between configurations.

#include <Config>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace buckthornwing;

namespace {

Selector
selectorOf(const std::string& text)
{
  auto parsed = parseSelector(text);
  cr_assert(std::holds_alternative<Selector>(parsed), "%s", text.c_str());
  return std::get<Selector>(std::move(parsed));
}

rc::Gen<std::string>
anyWord()
{
  return rc::gen::element<std::string>("app", "tier", "zone", "gold", "a.b-c");
}

rc::Gen<SelectorRequirement>
anyRequirement()
{
  return rc::gen::map(
    rc::gen::tuple(anyWord(),
                   rc::gen::inRange(0, 4),
                   rc::gen::nonEmpty(
                     rc::gen::container<std::vector<std::string>>(anyWord()))),
    [](const auto& parts) {
      const auto& [key, op, values] = parts;
      SelectorRequirement requirement{ key,
                                       static_cast<SelectorOperator>(op),
                                       values };
      if (op >= 2) {
        requirement.values.clear();
      }
      return requirement;
    });
}

rc::Gen<Labels>
anyLabels()
{
  // Generates pairs: there are too few distinct keys to generate a map, which
  // needs as many distinct keys as its size.
  return rc::gen::map(
    rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
      rc::gen::pair(anyWord(), anyWord())),
    [](const auto& pairs) { return Labels(pairs.begin(), pairs.end()); });
}

/// \brief Reference implementation of a requirement, for comparison.
bool
referenceMatches(const SelectorRequirement& requirement, const Labels& labels)
{
  const bool present = labels.contains(requirement.key);
  const std::set<std::string> values(requirement.values.begin(),
                                     requirement.values.end());
  const bool listed = present && values.contains(labels.at(requirement.key));
  switch (requirement.op) {
    case SelectorOperator::in:
      return listed;
    case SelectorOperator::notIn:
      return !listed;
    case SelectorOperator::exists:
      return present;
    case SelectorOperator::notExists:
      return !present;
  }
  return false;
}

std::string
documentWith(const std::string& services, const std::string& targets)
{
  return R"({"revision":1,"hash_seed":"ab","services":[)" + services +
         R"(],"targets":[)" + targets + "]}";
}

std::string
service(const std::string& name,
        const std::string& address,
        const std::string& selector)
{
  return R"({"name":")" + name + R"(","addresses":[")" + address +
         R"("],"protocol":"tcp","ports":[443],"selector":")" + selector +
         R"("})";
}

std::string
target(const std::string& id, const std::string& app)
{
  return R"({"id":")" + id +
         R"(","address":"127.0.0.1","tunnel_port":6080,"zone":"z","labels":{"app":")" +
         app + R"("}})";
}

bool
hasProblemAt(const Problems& problems, const std::string& path)
{
  return std::any_of(
    problems.begin(), problems.end(), [&](const Problem& problem) {
      return problem.path == path;
    });
}

}

Test(selector, each_operator_matches_as_in_kubernetes)
{
  const Labels goldTier{ { "app", "booking" }, { "tier", "gold" } };
  const Labels withoutTier{ { "app", "booking" } };
  cr_assert(matches(selectorOf("app=booking"), goldTier));
  cr_assert(matches(selectorOf("app == booking , tier"), goldTier));
  cr_assert(matches(selectorOf("tier in (gold,silver)"), goldTier));
  cr_assert_not(matches(selectorOf("tier in (gold,silver)"), withoutTier));
  cr_assert(matches(selectorOf("tier notin (silver)"), withoutTier));
  cr_assert(matches(selectorOf("tier!=silver"), withoutTier));
  cr_assert_not(matches(selectorOf("tier!=gold"), goldTier));
  cr_assert(matches(selectorOf("!canary"), goldTier));
  cr_assert_not(matches(selectorOf("!tier"), goldTier));
}

Test(selector, malformed_selectors_are_rejected)
{
  for (const char* text : { "",
                            "   ",
                            ",",
                            "a,",
                            "a=b,",
                            "a in",
                            "a in ()x",
                            "a in (b",
                            "=b",
                            "!",
                            "a b",
                            "a!b",
                            "-a",
                            "a=b c",
                            "a in (b,)x" }) {
    cr_assert(
      std::holds_alternative<SelectorError>(parseSelector(text)), "%s", text);
  }
}

// Guards against errors of matching, and of formatting and parsing again.
Test(selector, parsed_from_its_own_format_matches_as_the_reference_does)
{
  cr_assert(rc::check("comparison with the reference", [] {
    Selector selector;
    selector.requirements = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<SelectorRequirement>>(anyRequirement()));
    const Labels labels = *anyLabels();
    const Selector parsed = selectorOf(formatSelector(selector));
    const bool expected =
      std::all_of(selector.requirements.begin(),
                  selector.requirements.end(),
                  [&](const auto& requirement) {
                    return referenceMatches(requirement, labels);
                  });
    RC_ASSERT(matches(parsed, labels) == expected);
  }));
}

Test(configuration, all_problems_are_reported_with_their_paths)
{
  const std::string text =
    R"({"revision":0,"hash_seed":"xyz","services":[{"name":"a","adresses":["1.2.3.4"],
       "protocol":"icmp","ports":[0],"selector":"app=a"}],"targets":[]})";
  const Problems fatal = parseConfiguration(text).fatalProblems;
  for (const char* path : { "$.revision",
                            "$.hash_seed",
                            "$.services[0].addresses",
                            "$.services[0].adresses",
                            "$.services[0].protocol",
                            "$.services[0].ports[0]" }) {
    cr_assert(hasProblemAt(fatal, path), "%s", path);
  }
  const auto misspelled =
    std::find_if(fatal.begin(), fatal.end(), [](const Problem& problem) {
      return problem.path == "$.services[0].adresses";
    });
  cr_assert(misspelled->expected.find("\"addresses\"") != std::string::npos);
}

// Guards against an invalid selector that makes the whole document be rejected.
Test(configuration, an_invalid_selector_affects_only_its_service)
{
  const auto parsed = parseConfiguration(
    documentWith(service("a", "203.0.113.1", "app=") + "," +
                   service("b", "203.0.113.2", "app in (") + "," +
                   service("c", "203.0.113.3", "app=c"),
                 target("t-1", "c")));
  cr_assert(parsed.fatalProblems.empty());
  cr_assert_eq(parsed.selectorProblems.size(), 1);
  cr_assert_str_eq(parsed.selectorProblems[0].path.c_str(),
                   "$.services[1].selector");
  cr_assert(parsed.configuration.services[2].selector.has_value());
}

Test(configuration, shared_service_endpoints_and_duplicate_ids_are_fatal)
{
  const auto overlap =
    parseConfiguration(documentWith(service("a", "203.0.113.1", "app=a") + "," +
                                      service("b", "203.0.113.1", "app=b"),
                                    ""));
  cr_assert(hasProblemAt(overlap.fatalProblems, "$.services[1].addresses"));
  const auto duplicate = parseConfiguration(
    documentWith("", target("t", "a") + "," + target("t", "a")));
  cr_assert(hasProblemAt(duplicate.fatalProblems, "$.targets[1].id"));
}

Test(configuration, malformed_json_and_oversized_documents_are_rejected)
{
  for (const std::string text :
       { "", "{", "[]", "{} {}", "nonsense", "\xff" }) {
    cr_assert_not(
      parseConfiguration(text).fatalProblems.empty(), "%s", text.c_str());
  }
  std::string oversized = documentWith("", target("t", "a"));
  oversized.append(kMaxDocumentBytes, ' ');
  cr_assert_not(parseConfiguration(oversized).fatalProblems.empty());
}

Test(configuration, arbitrary_text_is_rejected_without_a_crash)
{
  cr_assert(rc::check("arbitrary text", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    const ParsedConfiguration parsed = parseConfiguration(text);
    RC_ASSERT(!parsed.fatalProblems.empty());
  }));
}

// Guards against uneven load of the targets, and against flows that change
// their target although it stays.
Test(lookup_table, is_even_and_few_buckets_move_when_a_target_is_removed)
{
  std::vector<std::string> ids;
  for (int i = 0; i < 14; ++i) {
    ids.push_back("booking-" + std::to_string(i));
  }
  std::vector<std::string_view> all(ids.begin(), ids.end());
  const auto before = buildLookupTable(all, 4099, 7);
  std::map<std::uint16_t, int> bucketCounts;
  for (const auto entry : before) {
    ++bucketCounts[entry];
  }
  cr_assert_eq(bucketCounts.size(), 14);
  for (const auto& [entry, bucketCount] : bucketCounts) {
    cr_assert(bucketCount == 292 || bucketCount == 293, "%d", bucketCount);
  }
  const auto after = buildLookupTable(std::span(all).first(13), 4099, 7);
  int movedNeedlessly = 0;
  for (std::size_t b = 0; b < before.size(); ++b) {
    movedNeedlessly += before[b] != 13 && after[b] != before[b] ? 1 : 0;
  }
  // Maglev also moves some buckets of the remaining targets.
  cr_assert_lt(movedNeedlessly, 4099 / 10);
}

Test(lookup_table, without_targets_each_bucket_has_no_target)
{
  const auto table = buildLookupTable({}, 4099, 7);
  cr_assert(std::all_of(
    table.begin(), table.end(), [](auto entry) { return entry == kNoTarget; }));
}

Test(diff, lists_gained_and_lost_targets_and_the_moved_share)
{
  const auto parse = [](const std::string& targets) {
    auto parsed = parseConfiguration(
      documentWith(service("a", "203.0.113.1", "app=a"), targets));
    cr_assert(parsed.fatalProblems.empty());
    return parsed.configuration;
  };
  const auto before = parse(target("t-1", "a") + "," + target("t-2", "a"));
  const auto after = parse(target("t-1", "a") + "," + target("t-3", "a"));
  const auto diffs = diffConfigurations(before, after);
  cr_assert_eq(diffs.size(), 1);
  cr_assert_str_eq(diffs[0].gained.at(0).c_str(), "t-3");
  cr_assert_str_eq(diffs[0].lost.at(0).c_str(), "t-2");
  cr_assert(diffs[0].movedShare >= 0.5 && diffs[0].movedShare < 0.8);
  cr_assert(diffConfigurations(before, before).empty());
}

// Guards against a label index that omits or adds targets.
Test(label_index, selects_the_same_targets_as_a_full_scan)
{
  cr_assert(rc::check("comparison with the reference", [] {
    Configuration configuration;
    const auto count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
      TargetConfig config;
      config.id = "t-" + std::to_string(i);
      config.labels = *anyLabels();
      configuration.targets.push_back(std::move(config));
    }
    ServiceConfig config;
    config.selector = Selector{ *rc::gen::nonEmpty(
      rc::gen::container<std::vector<SelectorRequirement>>(anyRequirement())) };
    const LabelIndex index(configuration);
    RC_ASSERT(index.select(config) == selectTargets(configuration, config));
  }));
}

Test(instance_list, valid_list_is_parsed_and_invalid_ones_give_no_instances)
{
  const auto list = parseInstanceList(
    R"([{"id":"entry-1","zone":"a","peer_address":"127.0.0.1:7001","state":"leaving"}])");
  cr_assert_eq(list.size(), 1);
  cr_assert(list[0].leaving);
  for (const char* text : { "", "{}", "[1]", R"([{"id":"entry-1"}])" }) {
    cr_assert(parseInstanceList(text).empty(), "%s", text);
  }
}
