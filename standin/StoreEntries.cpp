#include "StoreEntries.h"

#include <boost/json.hpp>

namespace buckthornwing::standin {

std::string
formatTargetRegistration(const TargetRegistration& entry)
{
  return boost::json::serialize(
    boost::json::object{ { "service", entry.service },
                         { "address", formatEndpoint(entry.address) },
                         { "zone", entry.zone },
                         { "version", "1" },
                         { "slots", entry.slots },
                         { "state", entry.isDraining ? "draining" : "ready" },
                         { "warmup_left_ms", entry.remainingWarmUp.ms },
                         { "seq", 1 },
                         { "born", entry.incarnation } });
}

std::string
formatConfiguration(std::uint64_t version,
                    const std::vector<RouteDefinition>& routes,
                    const std::vector<std::string>& services)
{
  boost::json::array routeList;
  for (const RouteDefinition& route : routes) {
    routeList.push_back(
      { { "name", "route-" + std::to_string(route.destination.port) },
        { "host", formatIpAddress(route.destination.address) },
        { "prefix", "/" + std::to_string(route.destination.port) + "/" },
        { "route_type", route.isIdempotent ? "idempotent" : "non_idempotent" },
        { "service", route.service } });
  }
  boost::json::array serviceList;
  for (const std::string& service : services) {
    serviceList.push_back(
      { { "name", service }, { "health_path", "/health" } });
  }
  return boost::json::serialize(
    boost::json::object{ { "version", version },
                         { "routes", std::move(routeList) },
                         { "services", std::move(serviceList) } });
}

}
