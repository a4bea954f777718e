#ifndef BUCKTHORNWING_EMULATOR_DEPLOYMENT_H
#define BUCKTHORNWING_EMULATOR_DEPLOYMENT_H

#include <src/Core/MilliTime.h>
#include <src/Io/Error.h>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing::emulator {

/// \brief A zone with the instances and callers in it.
struct ZoneShape
{
  std::string name;
  std::size_t instances = 0;
  std::size_t callers = 0;
};

/// \brief A service with its backend servers.
struct ServiceShape
{
  std::string name;
  std::vector<std::size_t> targetsByZone; ///< indexed like the zones
  unsigned slots = 2; ///< requests that a target processes at once
  /// Time after the start of a target in which it says that it is slow. Its
  /// entry changes with each heartbeat in that time.
  MilliDuration warmUp{};
};

/// \brief Time bounds of a deployment's guarantees.
struct DeploymentBounds
{
  /// Time after the last fault until time bounds apply.
  MilliDuration settlingTime{ 4000 };
  /// Time from the publication of routes until new flows must follow them.
  MilliDuration maxRouteChangeDelay{ 3000 };
  /// Time from the start of draining until a target must not receive new flows.
  MilliDuration maxDrainDelay{ 3000 };
};

/// \brief Numbers and places of the parts of an emulated deployment.
struct Deployment
{
  std::vector<ZoneShape> zones;
  std::vector<ServiceShape> services;
  DeploymentBounds bounds;
  std::size_t pageItems = 10; ///< in a page of a listing of the store

  std::size_t instanceCount() const;
  std::size_t targetCount() const;
  std::vector<std::string> serviceNames() const;
  /// \returns the zone of each instance; the first ones are in different zones.
  std::vector<std::string> instanceZones() const;
};

/// \returns a deployment with two zones and two services, among which its parts
/// are divided evenly.
Deployment
makeDeployment(std::size_t instances, std::size_t targets, std::size_t callers);

/// \brief Parses a deployment from JSON; docs/PLATFORM.md lists the fields.
/// \param source names the text in errors
/// \returns the deployment, or an error that lists all wrong fields
boost::leaf::result<Deployment>
parseDeployment(std::string_view text, const std::string& source);

}

#endif
