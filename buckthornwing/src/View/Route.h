#ifndef BUCKTHORNWING_ROUTE_H
#define BUCKTHORNWING_ROUTE_H

#include "../Config/Selector.h"
#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief What may be done with requests of a route after a failure.
enum class RouteKind : std::uint8_t
{
  idempotent,
  nonIdempotent,
  download, ///< idempotent, one long answer for each flow
};

/// \returns whether callers may repeat a request that possibly ran.
constexpr bool
isRepeatable(RouteKind kind)
{
  return kind != RouteKind::nonIdempotent;
}

/// \brief Position of a service in a RouteTable.
using ServiceSlot = std::uint32_t;
inline constexpr ServiceSlot kNoServiceSlot = 0xffffffff;

/// \brief A service and what selects its targets.
struct SelectedService
{
  std::string name;
  Selector selector;
  std::string healthPath; ///< of an HTTP request that a live target answers
};

/// \brief A service that takes a share of a route's new flows.
struct WeightedService
{
  ServiceSlot service = kNoServiceSlot;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// \brief Where new flows to one address and port go.
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
  std::uint64_t revision = 0; ///< of the store when it was written
  std::vector<SelectedService> services;
  std::vector<Route> routes;
  MilliDuration idleTimeout{};
  std::uint32_t skipped = 0; ///< entries of the document that name no route
};

}

#endif
