#ifndef BUCKTHORNWING_MEASURE_DEPLOYMENT_H
#define BUCKTHORNWING_MEASURE_DEPLOYMENT_H

#include <Config>

#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief One service's load in a deployment.
struct ServiceLoad
{
  std::string name;
  std::string address;
  std::string balance;
  std::size_t targets = 0;
  std::size_t spares = 0; ///< published, not selected at first
  std::size_t flows = 0;  ///< open at steady load
  double meanLifeSeconds = 0;
  double packetIntervalSeconds = 0;
  std::uint32_t maxNewFlowsPerSecond = 0;
};

/// \brief A firm's places and services at the sizes of today.
struct Deployment
{
  std::string name;
  std::vector<std::string> zones;
  std::int64_t betweenZonesMs = 0;
  std::int64_t fromCallersMs = 0;
  std::size_t instances = 0;
  std::vector<ServiceLoad> services;
};

/// \returns the deployment of that name, "prairie" or "himalflow".
Deployment
findDeployment(const std::string& name);

/// \brief The published document, which scenarios edit.
struct PublishedState
{
  std::uint64_t revision = 1;
  Deployment deployment;
  std::vector<TargetConfig> targets;
  std::vector<InstanceConfig> instances;

  /// \returns the document's JSON text.
  std::string text() const;
};

/// \returns the document that a deployment starts with.
PublishedState
initialState(const Deployment& deployment);

/// \returns the instance with a number, from 0.
InstanceConfig
describeInstance(const Deployment& deployment, std::size_t number);

}

#endif
