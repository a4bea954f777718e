#ifndef BUCKTHORNWING_ROUTE_H
#define BUCKTHORNWING_ROUTE_H

#include "../Config/Selector.h"
#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Kind of a route's requests, which decides whether they may be
/// repeated after a failure.
enum class RouteKind : std::uint8_t
{
  idempotent,
  nonIdempotent,
  download, ///< idempotent, one long response for each flow
};

/// \returns whether callers may repeat a request that may have been executed.
constexpr bool
isRepeatable(RouteKind kind)
{
  return kind != RouteKind::nonIdempotent;
}

/// \brief Position of a service in a RouteTable.
using ServiceSlot = std::uint32_t;
inline constexpr ServiceSlot kNoServiceSlot = 0xffffffff;

/// \returns a rate at which a cold target bears requests, as published; 0, not
/// limited, if it is not a plausible one.
constexpr double
plausibleWarmupRate(double requestsPerSecond)
{
  constexpr double kMaxRequestsPerSecond = 1'000'000;
  const bool isPlausible =
    requestsPerSecond > 0 && requestsPerSecond <= kMaxRequestsPerSecond;
  return isPlausible ? requestsPerSecond : 0;
}

/// \brief A service and the selector of its targets.
struct SelectedService
{
  std::string name;
  Selector selector;
  std::string healthPath; ///< path of the HTTP health check
  /// Requests a second that a cold target bears; 0: not limited.
  double warmupRate = 0;
};

/// \brief A service of a route; new flows are split in proportion to the
/// weights.
struct WeightedService
{
  ServiceSlot service = kNoServiceSlot;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// \brief The services that receive new flows to one address and port.
struct Route
{
  std::string name;
  Endpoint destination;
  RouteKind kind = RouteKind::idempotent;
  MilliDuration timeout{};
  MilliDuration latencyObjective{};
  std::uint32_t priority = 0; ///< 0 is the highest
  std::vector<WeightedService> services;

  bool operator==(const Route&) const = default;
};

/// \brief All routes of one configuration.
struct RouteTable
{
  std::uint64_t version = 0;
  std::vector<SelectedService> services;
  std::vector<Route> routes;
  MilliDuration idleTimeout{};
  std::uint32_t skipped = 0; ///< invalid entries of the document
};

/// \returns whether any service limits new flows to its cold targets.
inline bool
limitsColdTargets(const RouteTable& table)
{
  return std::any_of(
    table.services.begin(),
    table.services.end(),
    [](const SelectedService& service) { return service.warmupRate > 0; });
}

}

#endif
