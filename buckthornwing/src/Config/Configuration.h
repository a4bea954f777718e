#ifndef BUCKTHORNWING_CONFIGURATION_H
#define BUCKTHORNWING_CONFIGURATION_H

#include "../Core/FlowKey.h"
#include "Selector.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Trade-off of a service between unbroken flows and an even spread of
/// flows over its targets.
enum class Balance : std::uint8_t
{
  sticky, ///< prefers unbroken flows
  spread, ///< prefers an even spread
};

/// \brief One service: the addresses that callers connect to, and the selector
/// of its targets.
struct ServiceConfig
{
  std::string name;
  std::vector<IpAddress> addresses;
  Protocol protocol = Protocol::tcp;
  std::vector<std::uint16_t> ports;
  /// Empty if the selector's text is invalid; the last valid selector is then
  /// used.
  std::optional<Selector> selector;
  std::uint32_t maxFlows = 0;             ///< open flows; 0 means unlimited
  std::uint32_t maxNewFlowsPerSecond = 0; ///< 0 means unlimited
  Balance balance = Balance::sticky;
};

/// \brief State of a backend server, as the configuration gives it.
enum class TargetState : std::uint8_t
{
  serving,
  draining,
};

/// \brief One backend server, identified by its id and not by its address.
struct TargetConfig
{
  std::string id;
  IpAddress address;
  std::uint16_t tunnelPort = 0;
  std::string zone;
  Labels labels;
  std::uint32_t slots = 0;          ///< concurrent requests; 0 means unknown
  std::uint32_t maxConnections = 0; ///< 0 means unlimited
  TargetState state = TargetState::serving;
  std::string statusUrl; ///< empty if the target publishes no status
};

/// \brief One entry instance in the platform's list.
struct InstanceConfig
{
  std::string id;
  std::string zone;
  Endpoint peerAddress;
  bool leaving = false;
};

/// \brief A complete configuration document.
struct Configuration
{
  std::uint64_t revision = 0;
  std::uint64_t hashSeed = 0;
  std::vector<ServiceConfig> services;
  std::vector<TargetConfig> targets;
  std::vector<InstanceConfig> instances;
};

/// \returns the 32-bit hash that identifies a target in messages between
/// instances.
inline std::uint32_t
targetTag(std::string_view targetId)
{
  return static_cast<std::uint32_t>(hashText(targetId));
}

/// \returns the 32-bit hash that identifies a service in messages between
/// instances.
inline std::uint32_t
serviceTag(std::string_view serviceName)
{
  return static_cast<std::uint32_t>(hashText(serviceName, 1));
}

}

#endif
