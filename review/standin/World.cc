#include "World.hh"

namespace review {
namespace {

constexpr const char* kStoreIp = "127.200.1.7";
constexpr std::int64_t kStartLimitMs = 15000;
/// \brief Time between the machines' readiness and the start of traffic.
constexpr std::int64_t kLeadMs = 2000;

std::vector<std::uint32_t>
usedAddresses()
{
  std::vector<std::uint32_t> ips{ parseIp(kStoreIp) };
  for (const int zone : { 1, 2, 3 }) {
    const std::string middle = std::to_string(zone);
    for (const char* last : { "10", "11", "12" }) {
      ips.push_back(parseIp("127.10." + middle + "." + last));
      ips.push_back(parseIp("127.11." + middle + "." + last));
    }
    ips.push_back(parseIp("127.100." + middle + ".1"));
  }
  return ips;
}

}

World::World(const std::string& program,
             const std::string& repository,
             const std::string& folder,
             const std::string& scratch,
             Store::Limits limits)
  : record(loop, folder + "/record.txt")
  , ports(findPorts(usedAddresses()))
  , links(loop, record)
{
  const Address address{ parseIp(kStoreIp), this->ports.store };
  this->storeAddress = formatAddress(address);
  this->store =
    std::make_unique<Store>(this->loop, this->record, address, limits);
  this->fleet = std::make_unique<Fleet>(
    this->record, program, repository, scratch, this->ports);
  this->callers =
    std::make_unique<Callers>(this->loop, this->record, this->ports.packets);
  this->callers->onAttempt = [this](const Attempt& attempt) {
    this->attempts.push_back(attempt);
  };
}

void
World::addMachine(const std::string& zone,
                  int zoneNumber,
                  int number,
                  bool isProxied)
{
  const std::string end =
    std::to_string(zoneNumber) + "." + std::to_string(9 + number);
  const std::string ip = "127.10." + end;
  const std::string peerIp = isProxied ? "127.11." + end : "";
  const std::string name = "front-" + zone + "-" + std::to_string(number);
  this->fleet->add({ name, zone, ip, peerIp });
  if (isProxied) {
    this->links.add({ parseIp(ip), this->ports.peers },
                    { parseIp(peerIp), this->ports.peers });
  }
  this->callers->addNode({ name,
                           zone,
                           { parseIp(ip), this->ports.packets },
                           { parseIp(ip), this->ports.ready },
                           2 });
}

Target&
World::addTarget(const std::string& service,
                 const std::string& zone,
                 int zoneNumber,
                 const std::string& idDigits,
                 std::int64_t warmupMs)
{
  constexpr int kFirstNumber = 10;
  constexpr int kHexadecimal = 16;
  TargetSettings settings;
  settings.id = "i-" + idDigits;
  settings.number = std::stoull(idDigits, nullptr, kHexadecimal);
  settings.service = service;
  settings.zone = zone;
  settings.address = { parseIp("127.20." + std::to_string(zoneNumber) + "." +
                               std::to_string(kFirstNumber +
                                              this->targetCounts[zone]++)),
                       this->ports.targets };
  settings.callerPort = this->ports.packets;
  settings.warmupMs = warmupMs;
  this->targets.push_back(std::make_unique<Target>(
    this->loop,
    this->record,
    *this->store,
    settings,
    [this](const Run& run) { this->runs.push_back(run); },
    [this](const Address& caller) {
      return this->callers->openingSentAt(caller);
    }));
  return *this->targets.back();
}

RequestKind
World::requestKind(const std::string& name,
                   std::uint16_t port,
                   std::int64_t periodMs,
                   std::int64_t firstAt,
                   std::int64_t lastAt) const
{
  return {
    name, { parseIp(kRouteHost), port }, false, periodMs, firstAt, lastAt
  };
}

std::string
World::configuration(std::uint64_t version,
                     const std::vector<RouteEntry>& routes,
                     std::int64_t timeoutMs) const
{
  std::string list;
  for (const RouteEntry& route : routes) {
    list += list.empty() ? "" : ",";
    list += R"({"name":")" + route.name + R"(","host":")" + kRouteHost +
            R"(","prefix":"/)" + std::to_string(route.port) +
            R"(/","service":")" + route.service + R"(","route_type":")" +
            (route.isIdempotent ? "idempotent" : "non_idempotent") +
            R"(","timeout_ms":)" + std::to_string(timeoutMs) +
            R"(,"aim_ms":300,"max_attempts":1,)"
            R"("priority":1})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list +
         R"(],"services":[{"name":"dispatch","health_path":"/health",)"
         R"("max_conns":2000},{"name":"certs","health_path":"/health",)"
         R"("max_conns":2000}],"limits":{"idle_timeout_ms":12000}})";
}

int
World::play(const std::function<void(std::int64_t start)>& scenario)
{
  for (const int zone : { 1, 2, 3 }) {
    const char* const names[] = { "a", "b", "c" };
    this->callers->addZone(names[zone - 1],
                           parseIp("127.100." + std::to_string(zone) + ".1"));
  }
  for (std::size_t i = 0; i < this->fleet->all().size(); ++i) {
    this->loop.after(i == 0 ? 0 : this->startSpreadMs, [this, i] {
      this->fleet->start(this->fleet->all()[i], this->storeAddress);
    });
  }
  this->callers->startChecks();
  this->waitForMachines(scenario);
  this->loop.run();
  if (!this->fleet->allRun()) {
    this->record.line("a machine's process has ended by itself");
    return 2;
  }
  return this->verdict;
}

void
World::waitForMachines(const std::function<void(std::int64_t start)>& scenario)
{
  if (this->callers->allReady()) {
    const std::int64_t start = this->loop.now() + kLeadMs;
    this->record.line("all machines are ready; traffic starts in 2 s");
    scenario(start);
  } else if (this->loop.now() > kStartLimitMs) {
    this->record.line("the machines don't become ready");
    this->end(2);
  } else {
    this->loop.after(100,
                     [this, scenario] { this->waitForMachines(scenario); });
  }
}

}
