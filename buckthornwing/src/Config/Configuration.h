#ifndef BUCKTHORNWING_CONFIGURATION_H
#define BUCKTHORNWING_CONFIGURATION_H

#include "../Core/FlowKey.h"
#include "Selector.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief What a service weighs more: unbroken flows or an even spread.
enum class Balance : std::uint8_t
{
  sticky,
  spread,
};

/// \brief One service: the addresses that callers use and its selector.
struct ServiceConfig
{
  std::string name;
  std::vector<IpAddress> addresses;
  Protocol protocol = Protocol::tcp;
  std::vector<std::uint16_t> ports;
  /// Nothing if the text is no selector: the last good form stays in force.
  std::optional<Selector> selector;
  std::uint32_t maxFlows = 0;             ///< open flows; 0 means no limit
  std::uint32_t maxNewFlowsPerSecond = 0; ///< 0 means no limit
  Balance balance = Balance::sticky;
};

/// \brief Published state of a backend server.
enum class TargetState : std::uint8_t
{
  serving,
  draining,
};

/// \brief One backend server. Its id, not its address, identifies it.
struct TargetConfig
{
  std::string id;
  IpAddress address;
  std::uint16_t tunnelPort = 0;
  std::string zone;
  Labels labels;
  std::uint32_t slots = 0;          ///< concurrent requests; 0 means unknown
  std::uint32_t maxConnections = 0; ///< 0 means no limit
  TargetState state = TargetState::serving;
  std::string statusUrl; ///< empty if the target reports nothing
};

/// \brief One entry instance as the platform lists it.
struct InstanceConfig
{
  std::string id;
  std::string zone;
  Endpoint peerAddress;
  bool leaving = false;
};

/// \brief A whole configuration document.
struct Configuration
{
  std::uint64_t revision = 0;
  std::uint64_t hashSeed = 0;
  std::vector<ServiceConfig> services;
  std::vector<TargetConfig> targets;
  std::vector<InstanceConfig> instances;
};

/// \returns a target's 32-bit id on the wire between instances.
inline std::uint32_t
targetTag(std::string_view targetId)
{
  return static_cast<std::uint32_t>(hashText(targetId));
}

/// \returns a service's 32-bit id on the wire between instances.
inline std::uint32_t
serviceTag(std::string_view serviceName)
{
  return static_cast<std::uint32_t>(hashText(serviceName, 1));
}

}

#endif
