#include "Deployment.h"

#include <boost/json.hpp>

namespace buckthornwing::measure {
namespace {

namespace json = boost::json;

Deployment
prairie()
{
  Deployment deployment{ "prairie", { "prairie-1", "prairie-2", "prairie-3" },
                         4,         3,
                         8,         {} };
  deployment.services = {
    { "live", "203.0.113.20", "sticky", 14, 4, 16000, 900, 2.0, 2000 },
    { "routes", "203.0.113.21", "spread", 4, 0, 4000, 30, 2.0, 2000 },
  };
  return deployment;
}

Deployment
himalflow()
{
  Deployment deployment{
    "himalflow", { "ktm-1", "ktm-2", "ktm-3" }, 5, 1, 8, {}
  };
  deployment.services = {
    { "booking", "203.0.113.10", "spread", 14, 4, 16000, 20, 2.0, 3000 },
    { "certificates", "203.0.113.11", "spread", 4, 0, 4000, 30, 2.0, 2000 },
  };
  return deployment;
}

json::object
toJsonObject(const ServiceLoad& load)
{
  return { { "name", load.name },
           { "addresses", json::array{ load.address } },
           { "protocol", "tcp" },
           { "ports", json::array{ 443 } },
           { "selector", "app=" + load.name + ",tier!=spare" },
           { "max_flows", 0 },
           { "max_new_flows_per_second", load.maxNewFlowsPerSecond },
           { "balance", load.balance } };
}

json::object
toJsonObject(const TargetConfig& target)
{
  json::object labels;
  for (const auto& [key, value] : target.labels) {
    labels[key] = value;
  }
  return { { "id", target.id },
           { "address", formatIpAddress(target.address) },
           { "tunnel_port", target.tunnelPort },
           { "zone", target.zone },
           { "labels", std::move(labels) },
           { "slots", target.slots },
           { "max_connections", target.maxConnections },
           { "state",
             target.state == TargetState::serving ? "serving" : "draining" } };
}

json::object
toJsonObject(const InstanceConfig& instance)
{
  return { { "id", instance.id },
           { "zone", instance.zone },
           { "peer_address", formatEndpoint(instance.peerAddress) },
           { "state", instance.leaving ? "leaving" : "live" } };
}

TargetConfig
makeTarget(const Deployment& deployment,
           const ServiceLoad& load,
           std::size_t number)
{
  TargetConfig target;
  const std::string digits = std::to_string(number + 1);
  target.id = load.name + "-" + (digits.size() < 2 ? "0" : "") + digits;
  target.address = *parseIpAddress("127.0.0.1");
  target.tunnelPort = static_cast<std::uint16_t>(6000 + number);
  target.zone = deployment.zones[number % deployment.zones.size()];
  const bool spare = number >= load.targets;
  target.labels = { { "app", load.name },
                    { "tier", spare ? "spare" : "gold" } };
  target.slots = 3;
  target.maxConnections = 2000;
  return target;
}

}

Deployment
findDeployment(const std::string& name)
{
  return name == "himalflow" ? himalflow() : prairie();
}

InstanceConfig
makeInstance(const Deployment& deployment, std::size_t number)
{
  InstanceConfig instance;
  instance.id = "entry-" + std::to_string(number + 1);
  instance.zone = deployment.zones[number % deployment.zones.size()];
  instance.peerAddress = Endpoint{ *parseIpAddress("127.0.0.1"),
                                   static_cast<std::uint16_t>(7001 + number) };
  return instance;
}

PublishedDocument
initialDocument(const Deployment& deployment)
{
  PublishedDocument document;
  document.deployment = deployment;
  for (const ServiceLoad& load : deployment.services) {
    for (std::size_t i = 0; i < load.targets + load.spares; ++i) {
      document.targets.push_back(makeTarget(deployment, load, i));
    }
  }
  for (std::size_t i = 0; i < deployment.instances; ++i) {
    document.instances.push_back(makeInstance(deployment, i));
  }
  return document;
}

std::string
PublishedDocument::toJson() const
{
  json::array servicesJson;
  for (const ServiceLoad& load : this->deployment.services) {
    servicesJson.push_back(toJsonObject(load));
  }
  json::array targetsJson;
  for (const TargetConfig& target : this->targets) {
    targetsJson.push_back(toJsonObject(target));
  }
  json::array instancesJson;
  for (const InstanceConfig& instance : this->instances) {
    instancesJson.push_back(toJsonObject(instance));
  }
  return json::serialize(
    json::object{ { "revision", this->revision },
                  { "hash_seed", "6f1d0c52a7" },
                  { "services", std::move(servicesJson) },
                  { "targets", std::move(targetsJson) },
                  { "instances", std::move(instancesJson) } });
}

}
