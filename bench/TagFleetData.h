#ifndef BUCKTHORNWING_BENCH_TAG_FLEET_DATA_H
#define BUCKTHORNWING_BENCH_TAG_FLEET_DATA_H

#include <Fleet>
#include <Steering>

#include <string>
#include <vector>

namespace buckthornwing::bench {

/// \brief Position of the benchmarks' data, after all of their changes.
inline constexpr StorePosition kLoadedAt{ 0, 1000000 };

inline constexpr std::size_t kTargetsPerService = 40;
inline constexpr std::size_t kZones = 9;

/// \returns the key of a caller's flow to the service behind a port.
/// \param client number of the caller, below 2^24
inline FlowKey
makeFlowKey(std::uint32_t client, std::uint16_t port)
{
  FlowKey flow;
  flow.source = *parseEndpoint("198.51.100.1:1024");
  flow.source.address.bytes[13] = static_cast<std::uint8_t>(client >> 16);
  flow.source.address.bytes[14] = static_cast<std::uint8_t>(client >> 8);
  flow.source.address.bytes[15] = static_cast<std::uint8_t>(client);
  flow.destination = *parseEndpoint("203.0.113.1:443");
  flow.destination.port = port;
  return flow;
}

inline std::string
zoneName(std::size_t index)
{
  return "zone-" + std::to_string(index % kZones);
}

/// \returns listing entries of targets that are distributed over zones and over
/// services of about kTargetsPerService targets each.
inline std::vector<TargetChange>
listTargets(std::size_t targets)
{
  const std::size_t services = targets / kTargetsPerService + 1;
  std::vector<TargetChange> changes;
  for (std::size_t i = 0; i < targets; ++i) {
    TargetChange change;
    change.id = "t-" + std::to_string(i + 1);
    change.version = { 0, i + 1 };
    change.kind = ChangeKind::listed;
    change.record.id = change.id;
    change.record.number = i + 1;
    change.record.address = *parseEndpoint("10.0.0.1:9000");
    change.record.zone = zoneName(i);
    change.record.labels = { { "service",
                               "s" + std::to_string(i / kZones % services) },
                             { "zone", change.record.zone } };
    change.record.slots = 2;
    changes.push_back(std::move(change));
  }
  return changes;
}

/// \returns a route to each service of listTargets(), on consecutive ports from
/// 443.
inline RouteTable
listRoutes(std::size_t targets)
{
  const std::size_t services = targets / kTargetsPerService + 1;
  RouteTable table;
  table.version = 1;
  for (std::size_t i = 0; i < services; ++i) {
    SelectedService service;
    service.name = "s" + std::to_string(i);
    service.selector.requirements.push_back(
      { "service", SelectorOperator::in, { service.name } });
    table.services.push_back(std::move(service));
    Route route;
    route.name = "r" + std::to_string(i);
    route.destination =
      makeFlowKey(0, static_cast<std::uint16_t>(443 + i)).destination;
    route.services = { { static_cast<ServiceSlot>(i), 1 } };
    table.routes.push_back(std::move(route));
  }
  return table;
}

inline TagSettings
makeSettings(std::size_t instance)
{
  TagSettings settings;
  settings.id = "entry-" + std::to_string(instance);
  settings.zone = zoneName(instance);
  settings.advertisedAddress = *parseEndpoint("127.0.0.1:1");
  settings.advertisedAddress.port = static_cast<std::uint16_t>(instance + 1);
  settings.seeds = { *parseEndpoint("127.0.0.1:1") };
  settings.tagSecret = 7;
  settings.seed = instance + 1;
  settings.incarnation = 1;
  return settings;
}

}

#endif
