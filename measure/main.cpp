/// \file
/// \brief Runs the scenarios with the chosen policies and deployments, and
/// prints the result of each run as one line of JSON.

#include "Scenarios.h"

#include <future>
#include <iostream>
#include <tclap/CmdLine.h>
#include <thread>

namespace buckthornwing::measure {
namespace {

/// \brief A policy's name and the function that runs a scenario with it.
struct NamedPolicy
{
  std::string name;
  std::function<Result(const ScenarioCase&, const std::string&, std::uint64_t)>
    run;
};

template<Node Policy>
NamedPolicy
makePolicy(const std::string& name, const PolicySettings& settings)
{
  return { name,
           [name, settings](const ScenarioCase& scenario,
                            const std::string& deployment,
                            std::uint64_t seed) {
             return runScenario<Policy>(
               scenario, deployment, name, seed, settings);
           } };
}

/// \returns all policies that can be compared: the baseline, the policy in use,
/// and variants of it.
std::vector<NamedPolicy>
allPolicies()
{
  PolicySettings relayAll;
  relayAll.flexibleShareSticky = 1;
  relayAll.flexibleShareSpread = 1;
  PolicySettings tableOnly;
  tableOnly.flexibleShareSticky = 0;
  tableOnly.flexibleShareSpread = 0;
  PolicySettings noHints;
  noHints.hints = false;
  PolicySettings noBackups;
  noBackups.backups = false;
  PolicySettings twoChoices;
  twoChoices.placementChoices = 2;
  return { makePolicy<NaiveNode>("naive", {}),
           makePolicy<EngineNode>("buckthornwing", {}),
           makePolicy<EngineNode>("relay_all", relayAll),
           makePolicy<EngineNode>("table_only", tableOnly),
           makePolicy<EngineNode>("no_hints", noHints),
           makePolicy<EngineNode>("no_backups", noBackups),
           makePolicy<EngineNode>("two_choices", twoChoices) };
}

/// \brief Runs jobs on at most eight threads and prints their results to
/// standard output in the order of the jobs.
/// \param details whether to print details to standard error as well
void
runJobs(std::vector<std::function<Result()>>& jobs, bool details)
{
  constexpr std::size_t kMaxThreads = 8;
  const std::size_t threads = std::max<std::size_t>(
    1, std::min<std::size_t>(kMaxThreads, std::thread::hardware_concurrency()));
  std::vector<std::future<Result>> running(jobs.size());
  for (std::size_t i = 0; i < jobs.size() + threads; ++i) {
    if (i >= threads) {
      const Result result = running[i - threads].get();
      std::cout << formatResult(result) << std::endl;
      if (details) {
        std::cerr << formatDetails(result) << std::endl;
      }
    }
    if (i < jobs.size()) {
      running[i] = std::async(std::launch::async, jobs[i]);
    }
  }
}

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing::measure;
  TCLAP::CmdLine command("Measures policies under faults", ' ', "0.1");
  TCLAP::ValueArg<std::string> scenario(
    "",
    "scenario",
    "scenario to run, such as F4; default: all",
    false,
    "",
    "NAME",
    command);
  TCLAP::ValueArg<std::string> deployment("",
                                          "deployment",
                                          "prairie or himalflow; default: both",
                                          false,
                                          "",
                                          "NAME",
                                          command);
  TCLAP::ValueArg<std::string> policy(
    "",
    "policy",
    "name of a policy, or all; default: naive "
    "and buckthornwing",
    false,
    "",
    "NAME",
    command);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "seed of all random decisions", false, 1, "N", command);
  TCLAP::SwitchArg details("",
                           "details",
                           "also print control bytes by message kind and "
                           "drops by reason to standard error",
                           command,
                           false);
  command.parse(argc, argv);
  const std::string wanted = policy.getValue();
  std::vector<std::function<Result()>> jobs;
  for (const ScenarioCase& scenarioCase : allScenarios()) {
    if (!scenario.getValue().empty() &&
        scenario.getValue() != scenarioCase.scenario) {
      continue;
    }
    for (const std::string deploymentName : { "prairie", "himalflow" }) {
      if (!deployment.getValue().empty() &&
          deployment.getValue() != deploymentName) {
        continue;
      }
      for (const NamedPolicy& candidate : allPolicies()) {
        const bool isDefault =
          candidate.name == "naive" || candidate.name == "buckthornwing";
        const bool chosen = wanted.empty()
                              ? isDefault
                              : wanted == "all" || wanted == candidate.name;
        if (chosen) {
          jobs.emplace_back(
            [candidate, scenarioCase, deploymentName, n = seed.getValue()] {
              return candidate.run(scenarioCase, deploymentName, n);
            });
        }
      }
    }
  }
  if (jobs.empty()) {
    std::cerr << "measure: no such scenario, deployment or policy\n";
    return 2;
  }
  runJobs(jobs, details.getValue());
  return 0;
}
