#ifndef BUCKTHORNWING_MEASURE_SCENARIOS_H
#define BUCKTHORNWING_MEASURE_SCENARIOS_H

#include "World.h"

#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief One scenario, or one case of it.
struct ScenarioName
{
  std::string scenario;
  std::string caseName;
};

/// \returns all scenarios with their cases, in order.
inline std::vector<ScenarioName>
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

/// \brief The first target of the deployment's first service, and so on.
template<typename Policy>
std::string
targetId(World<Policy>& world, std::size_t number)
{
  return world.published.targets[number].id;
}

template<typename Policy>
void
moveQuarterOfSelection(World<Policy>& world)
{
  const ServiceLoad& load = world.published.deployment.services.front();
  for (std::size_t i = 0; i < load.spares; ++i) {
    world.published.targets[i].labels["tier"] = "spare";
    world.published.targets[load.targets + i].labels["tier"] = "gold";
  }
  world.publish();
}

template<typename Policy>
void
replaceAll(World<Policy>& world)
{
  const std::size_t count = world.published.deployment.instances;
  for (std::size_t i = 0; i < count; ++i) {
    world.addInstance(count + i);
    world.run(6_s);
    world.stop(i);
    world.run(8_s);
  }
}

template<typename Policy>
void
cutZone(World<Policy>& world, bool killOne)
{
  world.net.cutZone = world.published.deployment.zones.back();
  world.run(10_s);
  if (killOne) {
    world.kill(0);
  }
  world.run(50_s);
  world.net.cutZone.clear();
  world.run(60_s);
}

template<typename Policy>
void
loseConfigurationService(World<Policy>& world)
{
  const std::string old = world.published.text();
  world.drain(targetId(world, 2));
  world.run(5_s);
  world.faults.platformDown = true;
  world.run(600_s);
  world.faults.platformDown = false;
  world.faults.staleText = old;
  world.run(60_s);
}

template<typename Policy>
void
lagInstanceList(World<Policy>& world)
{
  const Deployment& deployment = world.published.deployment;
  for (std::size_t ghost = 20; ghost < 24; ++ghost) {
    world.published.instances.push_back(describeInstance(deployment, ghost));
  }
  world.publish();
  world.addInstance(deployment.instances);
  world.run(10_s);
  world.stop(1);
  world.run(50_s);
}

template<typename Policy>
void
flood(World<Policy>& world, bool withFlood)
{
  constexpr double kTimes = 20;
  const ServiceLoad& load = world.published.deployment.services.front();
  if (withFlood) {
    const double usual =
      static_cast<double>(load.flows) / std::max(load.meanLifeSeconds, 20.0);
    world.flood(0, kTimes * usual, 30_s);
  }
  world.run(40_s);
}

/// \brief Each target sheds load for a while, two at a time, so that their
/// buckets are diverted and settle again and again.
template<typename Policy>
void
shedInTurn(World<Policy>& world)
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

/// \brief 3,000 new flows a second at each instance, short ones.
inline void
raiseRate(Deployment& deployment)
{
  constexpr std::size_t kPerInstance = 3000;
  ServiceLoad& load = deployment.services.front();
  load.flows = kPerInstance * deployment.instances;
  load.meanLifeSeconds = 0.8;
  load.packetIntervalSeconds = 0.3;
  load.maxNewFlowsPerSecond = 0;
}

/// \brief Brings about a scenario's fault in a world at steady load.
template<typename Policy>
void
playScenario(World<Policy>& world, const ScenarioName& name)
{
  const std::string& scenario = name.scenario;
  if (name.caseName == "full_rate" || name.caseName == "no_room") {
    world.run(10_s);
    return;
  }
  if (scenario == "F1") {
    moveQuarterOfSelection(world);
  } else if (scenario == "F2") {
    world.drain(targetId(world, 2));
  } else if (scenario == "F3") {
    world.addInstance(world.published.deployment.instances);
  } else if (scenario == "F4") {
    world.stop(2);
  } else if (scenario == "F5") {
    replaceAll(world);
  } else if (scenario == "F6") {
    world.kill(2);
  } else if (scenario == "F7") {
    cutZone(world, false);
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
    lagInstanceList(world);
  } else if (name.caseName == "all_unhealthy") {
    world.faults.allLookUnhealthy = true;
  } else if (name.caseName == "idle_liar") {
    world.faults.liar = targetId(world, 1);
  } else if (name.caseName == "all_shed_in_turn") {
    shedInTurn(world);
    return;
  } else if (name.caseName == "leave_and_drain") {
    world.stop(2);
    world.drain(targetId(world, 2));
  } else if (name.caseName == "death_in_partition") {
    cutZone(world, true);
  } else if (scenario == "F14") {
    flood(world, name.caseName == "calm_beside_flood");
    return;
  }
  world.run(60_s);
}

}

/// \brief Runs one scenario with one policy and returns its figures.
template<Node Policy>
Result
runScenario(const ScenarioName& name,
            const std::string& deploymentName,
            const std::string& policyName,
            std::uint64_t seed,
            const PolicySettings& settings)
{
  using namespace buckthornwing::literals;
  Deployment deployment = findDeployment(deploymentName);
  if (name.caseName == "full_rate" || name.caseName == "no_room") {
    internal::raiseRate(deployment);
  }
  if (name.caseName == "no_room") {
    // More than the targets' connections, and flows that last.
    deployment.services.front().flows = 32000;
    deployment.services.front().meanLifeSeconds = 5;
  }
  World<Policy> world(deployment, seed, settings);
  if (name.caseName.starts_with("calm")) {
    world.countedService = world.published.deployment.services.back().name;
  }
  // Long enough for owners to count their knowledge as complete.
  world.run(930_s);
  world.startCallers();
  world.run(30_s);
  world.startMeasuring();
  internal::playScenario(world, name);
  world.finish();
  world.result.scenario = name.scenario;
  world.result.caseName = name.caseName;
  world.result.deployment = deploymentName;
  world.result.policy = policyName;
  world.result.seed = seed;
  return world.result;
}

}

#endif
