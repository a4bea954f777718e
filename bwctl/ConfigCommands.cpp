#include "Commands.h"

#include <Config>
#include <src/Io/DaemonSettings.h>
#include <src/Io/Error.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <iomanip>
#include <iostream>

namespace buckthornwing::bwctl {
namespace {

namespace json = boost::json;

void
printProblems(const std::string& file, const Problems& problems)
{
  for (const Problem& problem : problems) {
    std::cerr << file << ": " << problem.path << ": " << problem.expected
              << '\n';
  }
}

/// \brief Loads a configuration document and prints its problems.
/// \returns the configuration, or an error if the document can't be read or has
/// a fatal problem. Problems of single services, such as a malformed selector,
/// are tolerated.
boost::leaf::result<Configuration>
loadConfiguration(const std::string& file)
{
  BOOST_LEAF_AUTO(text, readFile(file));
  ParsedConfiguration parsed = parseConfiguration(text);
  printProblems(file, parsed.selectorProblems);
  if (!parsed.fatalProblems.empty()) {
    printProblems(file, parsed.fatalProblems);
    return boost::leaf::new_error(
      Error{ "read configuration", file, "the document is malformed" });
  }
  return std::move(parsed.configuration);
}

json::array
toJson(const Problems& problems, bool fatal)
{
  json::array array;
  for (const Problem& problem : problems) {
    array.push_back(json::object{ { "path", problem.path },
                                  { "expected", problem.expected },
                                  { "fatal", fatal } });
  }
  return array;
}

json::array
toJson(const std::vector<std::string>& texts)
{
  json::array array;
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

/// \returns warnings about a valid configuration that is probably a mistake.
Problems
findWarnings(const Configuration& configuration)
{
  Problems warnings;
  for (std::size_t i = 0; i < configuration.services.size(); ++i) {
    const ServiceConfig& service = configuration.services[i];
    if (service.selector &&
        selectServingTargets(configuration, service).empty()) {
      warnings.push_back({ "$.services[" + std::to_string(i) + "].selector",
                           "selects no serving target; every new flow of \"" +
                             service.name + "\" would be refused" });
    }
  }
  return warnings;
}

void
printDiff(const ServiceDiff& diff)
{
  std::cout << diff.service << ": " << std::fixed << std::setprecision(1)
            << 100 * diff.movedShare << "% of new flows move\n";
  for (const std::string& id : diff.gained) {
    std::cout << "  + " << id << '\n';
  }
  for (const std::string& id : diff.lost) {
    std::cout << "  - " << id << '\n';
  }
}

/// \returns the service of a flow's destination and protocol, null if there is
/// none.
const ServiceConfig*
findByDestination(const Configuration& configuration, const FlowKey& key)
{
  for (const ServiceConfig& service : configuration.services) {
    const auto& addresses = service.addresses;
    const auto& ports = service.ports;
    const bool address =
      std::find(addresses.begin(), addresses.end(), key.destination.address) !=
      addresses.end();
    const bool port =
      std::find(ports.begin(), ports.end(), key.destination.port) !=
      ports.end();
    if (address && port && service.protocol == key.protocol) {
      return &service;
    }
  }
  return nullptr;
}

/// \brief Prints the steps of a decision.
/// \returns the exit status: negative if no target was chosen.
int
printSteps(const json::object& steps, bool asJson)
{
  if (asJson) {
    std::cout << json::serialize(steps) << '\n';
  } else {
    for (const auto& step : steps) {
      std::cout << step.key() << ": " << json::serialize(step.value()) << '\n';
    }
  }
  return steps.contains("target") ? kExitSuccess : kExitNegative;
}

}

boost::leaf::result<int>
validate(const Arguments& arguments)
{
  const std::string& file = arguments.positional.front();
  BOOST_LEAF_AUTO(text, readFile(file));
  const ParsedConfiguration parsed = parseConfiguration(text);
  Problems warnings;
  if (parsed.fatalProblems.empty()) {
    warnings = findWarnings(parsed.configuration);
  }
  const bool isValid =
    parsed.fatalProblems.empty() && parsed.selectorProblems.empty();
  printProblems(file, parsed.fatalProblems);
  printProblems(file, parsed.selectorProblems);
  printProblems(file + ": warning", warnings);
  if (arguments.json) {
    json::array problems = toJson(parsed.fatalProblems, true);
    for (json::value& problem : toJson(parsed.selectorProblems, false)) {
      problems.push_back(std::move(problem));
    }
    std::cout << json::serialize(
                   json::object{ { "valid", isValid },
                                 { "problems", std::move(problems) },
                                 { "warnings", toJson(warnings, false) } })
              << '\n';
  } else if (isValid) {
    std::cout << file << ": revision " << parsed.configuration.revision << ", "
              << parsed.configuration.services.size() << " services, "
              << parsed.configuration.targets.size() << " targets\n";
  }
  return isValid ? kExitSuccess : kExitNegative;
}

boost::leaf::result<int>
select(const Arguments& arguments)
{
  BOOST_LEAF_AUTO(configuration, loadConfiguration(arguments.config));
  const ServiceConfig* service = findService(configuration, arguments.service);
  if (service == nullptr) {
    return boost::leaf::new_error(Error{
      "find service",
      arguments.config,
      "$.services: expected a service named \"" + arguments.service + "\"" });
  }
  std::vector<std::string> ids;
  for (const std::size_t index : selectTargets(configuration, *service)) {
    ids.push_back(configuration.targets[index].id);
  }
  if (arguments.json) {
    std::cout << json::serialize(toJson(ids)) << '\n';
  } else {
    for (const std::string& id : ids) {
      std::cout << id << '\n';
    }
  }
  return ids.empty() ? kExitNegative : kExitSuccess;
}

boost::leaf::result<int>
diff(const Arguments& arguments)
{
  BOOST_LEAF_AUTO(before, loadConfiguration(arguments.positional[0]));
  BOOST_LEAF_AUTO(after, loadConfiguration(arguments.positional[1]));
  const std::vector<ServiceDiff> diffs = diffConfigurations(before, after);
  if (after.revision <= before.revision) {
    std::cerr << arguments.positional[1] << ": $.revision: expected more than "
              << before.revision << ", found " << after.revision
              << "; instances would ignore this document\n";
  }
  if (arguments.json) {
    json::array array;
    for (const ServiceDiff& item : diffs) {
      array.push_back(json::object{ { "service", item.service },
                                    { "gained", toJson(item.gained) },
                                    { "lost", toJson(item.lost) },
                                    { "moved_share", item.movedShare } });
    }
    std::cout << json::serialize(array) << '\n';
  } else if (diffs.empty()) {
    std::cout << "no service gains or loses a target\n";
  } else {
    for (const ServiceDiff& item : diffs) {
      printDiff(item);
    }
  }
  return after.revision > before.revision ? kExitSuccess : kExitNegative;
}

boost::leaf::result<int>
explain(const Arguments& arguments)
{
  if (!arguments.instance.empty()) {
    return explainAtInstance(arguments);
  }
  BOOST_LEAF_AUTO(configuration, loadConfiguration(arguments.config));
  const auto key = parseFlowKey(arguments.flow);
  if (!key) {
    return boost::leaf::new_error(
      Error{ "read flow",
             arguments.flow,
             "expected \"tcp|udp address:port address:port\"" });
  }
  json::object steps;
  steps["flow"] = formatFlowKey(*key);
  const ServiceConfig* service = findByDestination(configuration, *key);
  if (service == nullptr) {
    steps["decision"] = "drop: unknown_destination";
    return printSteps(steps, arguments.json);
  }
  steps["service"] = service->name;
  steps["selector"] =
    service->selector ? formatSelector(*service->selector) : "malformed";
  const Selection selected = selectTargets(configuration, *service);
  const Selection serving = selectServingTargets(configuration, *service);
  steps["selected_targets"] = selected.size();
  steps["serving_targets"] = serving.size();
  if (serving.empty()) {
    steps["decision"] = "refuse: no_target";
    return printSteps(steps, arguments.json);
  }
  const FlowId flow = flowIdOf(*key, configuration.hashSeed);
  const auto table = tableTargetIds(configuration, *service);
  const BucketIndex bucket = bucketOf(flow, table.size());
  steps["flow_id"] = flow.bits;
  steps["bucket"] = bucket;
  steps["buckets"] = table.size();
  steps["target"] = table[bucket];
  steps["decision"] =
    "forward by the table; the owner of a bucket that is placed by load, or "
    "whose target can't take flows, may choose another target";
  return printSteps(steps, arguments.json);
}

}
