#ifndef BUCKTHORNWING_MEASURE_DEPLOYMENT_H
#define BUCKTHORNWING_MEASURE_DEPLOYMENT_H

#include <Config>

#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief A service of a deployment, with its targets and its load.
struct ServiceLoad
{
  std::string name;
  std::string address;
  std::string balance;     ///< "sticky" or "spread"
  std::size_t targets = 0; ///< selected at first
  std::size_t spares = 0;  ///< further targets, published but not selected
  std::size_t flows = 0;   ///< open flows at steady load
  double meanLifetimeSeconds = 0;   ///< of exponentially distributed lifetimes
  double packetIntervalSeconds = 0; ///< mean pause between requests
  std::uint32_t maxNewFlowsPerSecond = 0;
};

/// \brief The zones, instances and services of a simulated deployment at its
/// current size.
struct Deployment
{
  std::string name;
  std::vector<std::string> zones;
  std::int64_t interZoneDelayMs = 0; ///< one-way delay without jitter
  std::int64_t callerDelayMs = 0;    ///< one-way delay to and from callers
  std::size_t instances = 0;
  std::vector<ServiceLoad> services;
};

/// \returns the deployment "himalflow"; "prairie" for any other name.
Deployment
findDeployment(const std::string& name);

/// \brief The configuration document that the platform publishes. Scenarios
/// edit it and publish it under a new revision.
struct PublishedDocument
{
  std::uint64_t revision = 1;
  Deployment deployment;
  std::vector<TargetConfig> targets;
  std::vector<InstanceConfig> instances;

  /// \returns the document's JSON text.
  std::string toJson() const;
};

/// \returns the first document of a deployment: all targets serve, spare
/// targets are not selected.
PublishedDocument
initialDocument(const Deployment& deployment);

/// \returns the configuration of the instance with an index, counted from 0.
InstanceConfig
makeInstance(const Deployment& deployment, std::size_t number);

}

#endif
