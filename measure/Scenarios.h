#ifndef BUCKTHORNWING_MEASURE_SCENARIOS_H
#define BUCKTHORNWING_MEASURE_SCENARIOS_H

#include "World.h"

#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief Identifies a scenario, or one case of a scenario with several.
struct ScenarioCase
{
  std::string scenario;
  std::string caseName; ///< empty for the scenario's main case
};

/// \returns all cases of all scenarios, in the order in which they run.
inline std::vector<ScenarioCase>
allScenarios()
{
  return { { "F0", "" },
           { "F0", "full_rate" },
           { "F1", "" },
           { "F2", "" },
           { "F3", "" },
           { "F4", "" },
           { "F5", "" },
           { "F6", "" },
           { "F7", "" },
           { "F8", "" },
           { "F9", "" },
           { "F10", "" },
           { "F11", "" },
           { "F12", "all_unhealthy" },
           { "F12", "idle_liar" },
           { "F12", "all_shed_in_turn" },
           { "F13", "leave_and_drain" },
           { "F13", "death_in_partition" },
           { "F14", "no_room" },
           { "F14", "calm_alone" },
           { "F14", "calm_beside_flood" } };
}

namespace internal {

using namespace buckthornwing::literals;

/// \returns the id of a published target. The targets of the first service
/// come first.
/// \param number index of the target, from 0
template<typename Policy>
std::string
targetId(World<Policy>& world, std::size_t number)
{
  return world.published.targets[number].id;
}

/// \brief Replaces as many selected targets of the first service as it has
/// spare targets.
template<typename Policy>
void
swapSelectedWithSpares(World<Policy>& world)
{
  const ServiceLoad& load = world.published.deployment.services.front();
  for (std::size_t i = 0; i < load.spares; ++i) {
    world.published.targets[i].labels["tier"] = "spare";
    world.published.targets[load.targets + i].labels["tier"] = "gold";
  }
  world.publish();
}

/// \brief Replaces all instances one by one: starts a new one, then stops an
/// old one.
template<typename Policy>
void
replaceAllInstances(World<Policy>& world)
{
  const std::size_t count = world.published.deployment.instances;
  for (std::size_t i = 0; i < count; ++i) {
    world.addInstance(count + i);
    world.run(6_s);
    world.stop(i);
    world.run(8_s);
  }
}

/// \brief Isolates the last zone for 60 s, then runs another 60 s without the
/// partition.
/// \param killOne whether the first instance dies during the partition
template<typename Policy>
void
isolateZone(World<Policy>& world, bool killOne)
{
  world.net.isolatedZone = world.published.deployment.zones.back();
  world.run(10_s);
  if (killOne) {
    world.kill(0);
  }
  world.run(50_s);
  world.net.isolatedZone.clear();
  world.run(60_s);
}

/// \brief Drains a target, stops the platform for 600 s, and lets it return
/// with the document from before the drain.
template<typename Policy>
void
loseConfigurationService(World<Policy>& world)
{
  const std::string previousDocument = world.published.toJson();
  world.drain(targetId(world, 2));
  world.run(5_s);
  world.faults.platformDown = true;
  world.run(600_s);
  world.faults.platformDown = false;
  world.faults.outdatedDocument = previousDocument;
  world.run(60_s);
}

/// \brief Publishes a list of instances that is out of date: it names four
/// that do not run, lacks one that starts, and keeps one that stops.
template<typename Policy>
void
publishOutdatedInstanceList(World<Policy>& world)
{
  const Deployment& deployment = world.published.deployment;
  for (std::size_t absentNumber = 20; absentNumber < 24; ++absentNumber) {
    world.published.instances.push_back(makeInstance(deployment, absentNumber));
  }
  world.publish();
  world.addInstance(deployment.instances);
  world.run(10_s);
  world.stop(1);
  world.run(50_s);
}

/// \brief Runs 40 s, with a flood in the first 30 s if requested.
/// \param withFlood whether the first service additionally gets new flows at
/// 20 times its normal rate
template<typename Policy>
void
flood(World<Policy>& world, bool withFlood)
{
  constexpr double kFloodFactor = 20;
  const ServiceLoad& load = world.published.deployment.services.front();
  if (withFlood) {
    const double normalRate = static_cast<double>(load.flows) /
                              std::max(load.meanLifetimeSeconds, 20.0);
    world.flood(0, kFloodFactor * normalRate, 30_s);
  }
  world.run(40_s);
}

/// \brief Lets all targets shed load in turn, two at a time for 4 s, so that
/// their buckets are repeatedly diverted and settled again.
template<typename Policy>
void
shedLoadInTurn(World<Policy>& world)
{
  const std::size_t count = world.published.targets.size();
  for (std::size_t i = 0; i < count; ++i) {
    world.faults.shedding = { targetId(world, i),
                              targetId(world, (i + 5) % count) };
    world.run(4_s);
  }
  world.faults.shedding.clear();
  world.run(20_s);
}

/// \brief Sets the first service's load to about 3,000 new short-lived flows
/// per second and instance, without a rate limit.
inline void
setHighFlowRate(Deployment& deployment)
{
  constexpr std::size_t kPerInstance = 3000;
  ServiceLoad& load = deployment.services.front();
  load.flows = kPerInstance * deployment.instances;
  load.meanLifetimeSeconds = 0.8;
  load.packetIntervalSeconds = 0.3;
  load.maxNewFlowsPerSecond = 0;
}

/// \brief Injects the fault of a scenario into a world at steady load and runs
/// the world until the measurement ends.
template<typename Policy>
void
injectFault(World<Policy>& world, const ScenarioCase& scenarioCase)
{
  const std::string& scenario = scenarioCase.scenario;
  if (scenarioCase.caseName == "full_rate" ||
      scenarioCase.caseName == "no_room") {
    world.run(10_s);
    return;
  }
  if (scenario == "F1") {
    swapSelectedWithSpares(world);
  } else if (scenario == "F2") {
    world.drain(targetId(world, 2));
  } else if (scenario == "F3") {
    world.addInstance(world.published.deployment.instances);
  } else if (scenario == "F4") {
    world.stop(2);
  } else if (scenario == "F5") {
    replaceAllInstances(world);
  } else if (scenario == "F6") {
    world.kill(2);
  } else if (scenario == "F7") {
    isolateZone(world, false);
  } else if (scenario == "F8") {
    loseConfigurationService(world);
  } else if (scenario == "F9") {
    world.pause(3, 10_s);
    world.run(2_s);
    world.drain(targetId(world, 2));
  } else if (scenario == "F10") {
    world.faults.peerLinks = { 0.05, 0.02, 0.05 };
    world.run(5_s);
    world.drain(targetId(world, 2));
  } else if (scenario == "F11") {
    publishOutdatedInstanceList(world);
  } else if (scenarioCase.caseName == "all_unhealthy") {
    world.faults.allReportedUnhealthy = true;
  } else if (scenarioCase.caseName == "idle_liar") {
    world.faults.falselyIdleTarget = targetId(world, 1);
  } else if (scenarioCase.caseName == "all_shed_in_turn") {
    shedLoadInTurn(world);
    return;
  } else if (scenarioCase.caseName == "leave_and_drain") {
    world.stop(2);
    world.drain(targetId(world, 2));
  } else if (scenarioCase.caseName == "death_in_partition") {
    isolateZone(world, true);
  } else if (scenario == "F14") {
    flood(world, scenarioCase.caseName == "calm_beside_flood");
    return;
  }
  world.run(60_s);
}

}

/// \brief Runs one case of a scenario with one policy.
/// \returns the figures of the measurement, which starts at steady load.
/// \param policyName name of the policy for the result; the policy itself is
/// given by \a Policy and \a settings
/// \param seed seed of all random decisions; the same seed gives the same
/// result
template<Node Policy>
Result
runScenario(const ScenarioCase& scenarioCase,
            const std::string& deploymentName,
            const std::string& policyName,
            std::uint64_t seed,
            const PolicySettings& settings)
{
  using namespace buckthornwing::literals;
  Deployment deployment = findDeployment(deploymentName);
  if (scenarioCase.caseName == "full_rate" ||
      scenarioCase.caseName == "no_room") {
    internal::setHighFlowRate(deployment);
  }
  if (scenarioCase.caseName == "no_room") {
    // More flows than the targets accept connections, each long enough to keep
    // the targets full.
    deployment.services.front().flows = 32000;
    deployment.services.front().meanLifetimeSeconds = 5;
  }
  World<Policy> world(deployment, seed, settings);
  if (scenarioCase.caseName.starts_with("calm")) {
    world.countedService = world.published.deployment.services.back().name;
  }
  // After this time owners consider their knowledge of flows complete.
  world.run(930_s);
  world.startCallers();
  world.run(30_s);
  world.startMeasuring();
  internal::injectFault(world, scenarioCase);
  world.finish();
  world.result.scenario = scenarioCase.scenario;
  world.result.caseName = scenarioCase.caseName;
  world.result.deployment = deploymentName;
  world.result.policy = policyName;
  world.result.seed = seed;
  return world.result;
}

}

#endif
