#include "Deployment.h"

#include <src/Io/SettingsText.h>

#include <numeric>

namespace buckthornwing::emulator {
namespace internal {

/// \brief Largest numbers of parts: each has a loopback address, and the
/// processes must fit into a few gigabytes of memory.
constexpr std::uint64_t kMaxInstances = 120;
constexpr std::uint64_t kMaxTargets = 200;
constexpr std::uint64_t kMaxCallers = 5000;
constexpr std::uint64_t kMaxBoundMs = 60000;
constexpr std::uint64_t kMaxSlots = 1000;
constexpr std::uint64_t kMaxPageItems = 500;

std::vector<ZoneShape>
parseZones(JsonReader& reader, Problems& problems)
{
  std::vector<ZoneShape> zones;
  const boost::json::array* list = reader.array("zones");
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    JsonReader fields(
      (*list)[i], "$.zones[" + std::to_string(i) + "]", problems);
    ZoneShape zone;
    zone.name = fields.text("name");
    zone.instances = fields.number("instances", 0, kMaxInstances);
    zone.callers = fields.number("callers", 0, kMaxCallers);
    fields.reportUnknownFields();
    zones.push_back(std::move(zone));
  }
  return zones;
}

std::vector<std::size_t>
parseCounts(JsonReader& reader, std::size_t zones)
{
  std::vector<std::size_t> counts;
  const boost::json::array* list = reader.array("targets");
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    boost::system::error_code code;
    counts.push_back((*list)[i].to_number<std::size_t>(code));
    if (code || counts.back() > kMaxTargets) {
      reader.report("targets",
                    "expected numbers up to " + std::to_string(kMaxTargets));
    }
  }
  if (counts.size() != zones) {
    reader.report("targets",
                  "expected a number for each of the " + std::to_string(zones) +
                    " zones");
  }
  return counts;
}

std::vector<ServiceShape>
parseServices(JsonReader& reader, std::size_t zones, Problems& problems)
{
  std::vector<ServiceShape> services;
  const boost::json::array* list = reader.array("services");
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    JsonReader fields(
      (*list)[i], "$.services[" + std::to_string(i) + "]", problems);
    ServiceShape service;
    service.name = fields.text("name");
    service.targetsByZone = parseCounts(fields, zones);
    service.slots =
      static_cast<unsigned>(fields.number("slots", 1, kMaxSlots, 2));
    service.warmUp.ms =
      static_cast<std::int64_t>(fields.number("warm_up_ms", 0, kMaxBoundMs, 0));
    fields.reportUnknownFields();
    services.push_back(std::move(service));
  }
  return services;
}

/// \returns a bound in milliseconds.
MilliDuration
parseBound(JsonReader& reader, std::string_view name, MilliDuration standard)
{
  const auto ms = reader.number(
    name, 1, kMaxBoundMs, static_cast<std::uint64_t>(standard.ms));
  return MilliDuration{ static_cast<std::int64_t>(ms) };
}

void
checkSize(JsonReader& reader,
          std::string_view field,
          std::size_t size,
          std::size_t least,
          std::size_t most)
{
  if (size < least || size > most) {
    reader.report(field,
                  "expected " + std::to_string(least) + " to " +
                    std::to_string(most) + " in all, found " +
                    std::to_string(size));
  }
}

Deployment
parseDeploymentFields(JsonReader& reader, Problems& problems)
{
  Deployment deployment;
  deployment.zones = parseZones(reader, problems);
  deployment.services =
    parseServices(reader, deployment.zones.size(), problems);
  DeploymentBounds& bounds = deployment.bounds;
  bounds.settlingTime = parseBound(reader, "settling_ms", bounds.settlingTime);
  bounds.maxDrainDelay = parseBound(reader, "drain_ms", bounds.maxDrainDelay);
  bounds.maxRouteChangeDelay =
    parseBound(reader, "route_change_ms", bounds.maxRouteChangeDelay);
  deployment.pageItems =
    reader.number("page_items", 1, kMaxPageItems, kMaxPageItems);
  checkSize(reader, "zones", deployment.instanceCount(), 2, kMaxInstances);
  checkSize(reader, "services", deployment.targetCount(), 1, kMaxTargets);
  checkSize(reader, "services", deployment.services.size(), 2, kMaxTargets);
  return deployment;
}

}

std::size_t
Deployment::instanceCount() const
{
  std::size_t count = 0;
  for (const ZoneShape& zone : this->zones) {
    count += zone.instances;
  }
  return count;
}

std::size_t
Deployment::targetCount() const
{
  std::size_t count = 0;
  for (const ServiceShape& service : this->services) {
    count += std::accumulate(service.targetsByZone.begin(),
                             service.targetsByZone.end(),
                             std::size_t{ 0 });
  }
  return count;
}

std::vector<std::string>
Deployment::serviceNames() const
{
  std::vector<std::string> names;
  for (const ServiceShape& service : this->services) {
    names.push_back(service.name);
  }
  return names;
}

std::vector<std::string>
Deployment::instanceZones() const
{
  std::vector<std::string> names;
  for (std::size_t round = 0; names.size() < this->instanceCount(); ++round) {
    for (const ZoneShape& zone : this->zones) {
      if (round < zone.instances) {
        names.push_back(zone.name);
      }
    }
  }
  return names;
}

Deployment
makeDeployment(std::size_t instances, std::size_t targets, std::size_t callers)
{
  const auto half = [](std::size_t count, std::size_t part) {
    return (count + 1 - part) / 2;
  };
  Deployment deployment;
  for (std::size_t zone = 0; zone < 2; ++zone) {
    deployment.zones.push_back({ zone == 0 ? "zone-a" : "zone-b",
                                 half(instances, zone),
                                 half(callers, zone) });
  }
  for (std::size_t service = 0; service < 2; ++service) {
    const std::size_t count = half(targets, service);
    deployment.services.push_back({ service == 0 ? "booking" : "billing",
                                    { half(count, 0), half(count, 1) },
                                    2,
                                    MilliDuration{ 3600 } });
  }
  return deployment;
}

boost::leaf::result<Deployment>
parseDeployment(std::string_view text, const std::string& source)
{
  return buckthornwing::internal::parseSettingsText<Deployment>(
    text, source, internal::parseDeploymentFields);
}

}
