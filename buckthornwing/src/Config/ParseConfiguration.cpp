#include "ParseConfiguration.h"

#include "JsonReader.h"

#include <boost/json.hpp>
#include <map>
#include <set>
#include <tuple>

namespace buckthornwing {
namespace internal {

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxCount = 1000000000;
/// \brief Integers up to this one are exact in a JSON number (a double).
constexpr std::uint64_t kMaxRevision = 1ULL << 53U;
constexpr std::size_t kMaxHashSeedDigits = 64;

/// \brief Parser of a single configuration document.
///
/// It keeps the configuration and the problems found so far. An object is used
/// for one document only.
class DocumentParser
{
public:
  ParsedConfiguration parse(std::string_view text)
  {
    boost::json::value document;
    if (!this->readJson(text, document)) {
      return std::move(this->result);
    }
    JsonReader reader(document, "$", this->result.fatalProblems);
    Configuration& configuration = this->result.configuration;
    configuration.revision = reader.number("revision", 1, kMaxRevision);
    configuration.hashSeed = this->parseHashSeed(reader);
    this->parseServices(reader);
    this->parseTargets(reader);
    this->parseInstances(reader);
    reader.reportUnknownFields();
    this->checkUniqueEndpoints();
    return std::move(this->result);
  }

  std::vector<InstanceConfig> parseInstanceArray(std::string_view text)
  {
    boost::json::value list;
    if (!this->readJson(text, list)) {
      return {};
    }
    const boost::json::value document =
      boost::json::object{ { "instances", std::move(list) } };
    JsonReader reader(document, "$", this->result.fatalProblems);
    this->parseInstances(reader);
    if (!this->result.fatalProblems.empty()) {
      return {};
    }
    return std::move(this->result.configuration.instances);
  }

private:
  ParsedConfiguration result;

  bool readJson(std::string_view text, boost::json::value& document)
  {
    Problems& fatal = this->result.fatalProblems;
    if (text.size() > kMaxDocumentBytes) {
      fatal.push_back({ "$",
                        "expected at most " +
                          std::to_string(kMaxDocumentBytes) + " bytes, found " +
                          std::to_string(text.size()) });
      return false;
    }
    boost::json::error_code error;
    boost::json::stream_parser parser;
    const std::size_t read = parser.write_some(text.data(), text.size(), error);
    if (!error && !parser.done()) {
      parser.finish(error);
    }
    const bool trailing = !error && text.find_first_not_of(" \t\r\n", read) !=
                                      std::string_view::npos;
    if (error || trailing) {
      fatal.push_back({ "$",
                        "expected one JSON document, found " +
                          (error ? error.message() : "trailing text") +
                          " at byte " + std::to_string(read) });
      return false;
    }
    document = parser.release();
    return true;
  }

  std::uint64_t parseHashSeed(JsonReader& reader)
  {
    const std::string seed = reader.text("hash_seed");
    const bool hexadecimal =
      seed.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
    if (!seed.empty() && (!hexadecimal || seed.size() > kMaxHashSeedDigits)) {
      reader.report("hash_seed", "expected at most 64 hexadecimal digits");
    }
    return hashText(seed);
  }

  /// \brief Reports \a text as a duplicate if it is in \a seen, and adds it.
  static void checkUnique(JsonReader& reader,
                          std::string_view field,
                          const std::string& text,
                          std::set<std::string>& seen)
  {
    if (!text.empty() && !seen.insert(text).second) {
      reader.report(field,
                    "expected a unique value, found \"" + text +
                      "\" more than once");
    }
  }

  void parseServices(JsonReader& document)
  {
    const boost::json::array* array = document.array("services");
    std::set<std::string> names;
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      JsonReader reader((*array)[i],
                        document.pathOf("services", i),
                        this->result.fatalProblems);
      ServiceConfig service = this->parseService(reader);
      checkUnique(reader, "name", service.name, names);
      reader.reportUnknownFields();
      this->result.configuration.services.push_back(std::move(service));
    }
  }

  ServiceConfig parseService(JsonReader& reader)
  {
    ServiceConfig service;
    service.name = reader.text("name");
    this->parseAddresses(reader, service);
    service.protocol = reader.choice("protocol", { "tcp", "udp" }) == 0
                         ? Protocol::tcp
                         : Protocol::udp;
    this->parsePorts(reader, service);
    this->parseServiceSelector(reader, service);
    service.maxFlows = reader.number("max_flows", 0, kMaxCount, 0);
    service.maxNewFlowsPerSecond =
      reader.number("max_new_flows_per_second", 0, kMaxCount, 0);
    service.balance = reader.choice("balance", { "sticky", "spread" }, 0) == 0
                        ? Balance::sticky
                        : Balance::spread;
    return service;
  }

  void parseAddresses(JsonReader& reader, ServiceConfig& service)
  {
    const boost::json::array* array = reader.array("addresses");
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      const boost::json::string* text = (*array)[i].if_string();
      const auto address =
        text == nullptr ? std::nullopt : parseIpAddress(*text);
      if (!address) {
        this->result.fatalProblems.push_back(
          { reader.pathOf("addresses", i),
            "expected an IP address, found " + describeKind((*array)[i]) });
        continue;
      }
      service.addresses.push_back(*address);
    }
    if (array != nullptr && array->empty()) {
      reader.report("addresses", "expected at least one address");
    }
  }

  void parsePorts(JsonReader& reader, ServiceConfig& service)
  {
    const boost::json::array* array = reader.array("ports");
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      boost::json::error_code error;
      const auto port = (*array)[i].to_number<std::uint16_t>(error);
      if (error || port == 0 || (*array)[i].is_double()) {
        this->result.fatalProblems.push_back(
          { reader.pathOf("ports", i),
            "expected a port from 1 to 65535, "
            "found " +
              describeKind((*array)[i]) });
        continue;
      }
      service.ports.push_back(port);
    }
    if (array != nullptr && array->empty()) {
      reader.report("ports", "expected at least one port");
    }
  }

  void parseServiceSelector(JsonReader& reader, ServiceConfig& service)
  {
    const boost::json::value* value = reader.field("selector", true);
    if (value == nullptr) {
      return;
    }
    const boost::json::string* text = value->if_string();
    if (text == nullptr) {
      reader.report("selector",
                    "expected a string, found " + describeKind(*value));
      return;
    }
    auto parsed = parseSelector(*text);
    if (const auto* error = std::get_if<SelectorError>(&parsed)) {
      this->result.selectorProblems.push_back(
        { reader.pathOf("selector"),
          "expected " + error->expected + " at byte " +
            std::to_string(error->offset) + " of \"" + std::string(*text) +
            "\"" });
      return;
    }
    service.selector = std::get<Selector>(std::move(parsed));
  }

  void parseTargets(JsonReader& document)
  {
    const boost::json::array* array = document.array("targets");
    std::set<std::string> ids;
    std::map<std::uint32_t, std::string> tags;
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      JsonReader reader(
        (*array)[i], document.pathOf("targets", i), this->result.fatalProblems);
      TargetConfig target = this->parseTarget(reader);
      checkUnique(reader, "id", target.id, ids);
      const auto [tag, added] = tags.emplace(targetTag(target.id), target.id);
      if (!added && tag->second != target.id) {
        reader.report("id",
                      "expected an id whose hash differs from that of \"" +
                        tag->second + "\"; choose another id");
      }
      reader.reportUnknownFields();
      this->result.configuration.targets.push_back(std::move(target));
    }
  }

  TargetConfig parseTarget(JsonReader& reader)
  {
    TargetConfig target;
    target.id = reader.text("id");
    target.address = reader.address("address");
    target.tunnelPort = reader.number("tunnel_port", 1, kMaxPort);
    target.zone = reader.text("zone");
    this->parseLabels(reader, target);
    target.slots = reader.number("slots", 0, kMaxCount, 0);
    target.maxConnections = reader.number("max_connections", 0, kMaxCount, 0);
    target.state = reader.choice("state", { "serving", "draining" }, 0) == 0
                     ? TargetState::serving
                     : TargetState::draining;
    target.statusUrl = reader.text("status_url", false);
    return target;
  }

  void parseLabels(JsonReader& reader, TargetConfig& target)
  {
    const boost::json::value* value = reader.field("labels", true);
    if (value == nullptr) {
      return;
    }
    const boost::json::object* labels = value->if_object();
    if (labels == nullptr) {
      reader.report("labels",
                    "expected an object, found " + describeKind(*value));
      return;
    }
    for (const auto& label : *labels) {
      const std::string key(label.key());
      const boost::json::string* text = label.value().if_string();
      if (!isLabelKey(key) || text == nullptr || !isLabelValue(*text)) {
        reader.report(
          "labels." + key,
          "expected a valid label key with a value of at most 63 letters, "
          "digits, '-', '_' and '.'");
        continue;
      }
      target.labels.emplace(key, std::string(*text));
    }
  }

  void parseInstances(JsonReader& document)
  {
    const boost::json::array* array = document.array("instances", false);
    std::set<std::string> ids;
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
      JsonReader reader((*array)[i],
                        document.pathOf("instances", i),
                        this->result.fatalProblems);
      InstanceConfig instance;
      instance.id = reader.text("id");
      instance.zone = reader.text("zone");
      instance.peerAddress = reader.endpoint("peer_address");
      instance.leaving = reader.choice("state", { "live", "leaving" }, 0) == 1;
      checkUnique(reader, "id", instance.id, ids);
      reader.reportUnknownFields();
      this->result.configuration.instances.push_back(std::move(instance));
    }
  }

  /// \brief Reports each (address, protocol, port) used by two services.
  void checkUniqueEndpoints()
  {
    using ServiceEndpoint = std::tuple<IpAddress, Protocol, std::uint16_t>;
    std::map<ServiceEndpoint, std::string> servicesByEndpoint;
    const auto& services = this->result.configuration.services;
    for (std::size_t i = 0; i < services.size(); ++i) {
      for (const IpAddress& address : services[i].addresses) {
        for (const std::uint16_t port : services[i].ports) {
          const ServiceEndpoint serviceEndpoint{ address,
                                                 services[i].protocol,
                                                 port };
          const auto [found, added] =
            servicesByEndpoint.emplace(serviceEndpoint, services[i].name);
          if (added) {
            continue;
          }
          this->result.fatalProblems.push_back(
            { "$.services[" + std::to_string(i) + "].addresses",
              "expected a unique (address, protocol, port), found " +
                formatEndpoint({ address, port }) +
                " already used by service \"" + found->second + "\"" });
        }
      }
    }
  }
};

}

std::vector<InstanceConfig>
parseInstanceList(std::string_view text)
{
  return internal::DocumentParser().parseInstanceArray(text);
}

ParsedConfiguration
parseConfiguration(std::string_view text)
{
  return internal::DocumentParser().parse(text);
}

}
