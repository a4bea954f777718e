// A rolling restart, while the operator takes back a configuration that dropped
// routes by mistake.
#include "../stand-ins-2/Platform.h"

using namespace standin;

namespace {

constexpr std::size_t kRoutes = 1400; ///< dropped and restored together
constexpr std::size_t kCallers = 300;
constexpr std::size_t kRestarts = 16; ///< each process twice
/// Time from the restoring configuration to the move of the restarted
/// instance's flows.
constexpr double kLead = 0.06;

Address
destination(std::size_t number)
{
  return { makeIp(198,
                  18,
                  static_cast<unsigned>(number / 250),
                  1 + static_cast<unsigned>(number % 250)),
           443 };
}

std::vector<Route>
routes(bool withAll)
{
  std::vector<Route> list{
    { "r-kept", { makeIp(198, 19, 0, 1), 443 }, "certs" }
  };
  for (std::size_t i = 0; withAll && i < kRoutes; ++i) {
    list.push_back({ "r-" + std::to_string(i), destination(i), "dispatch" });
  }
  return list;
}

}

int
main()
{
  Deployment deployment("review/8/record.txt");
  for (const char* id : { "front-ktm-a-1",
                          "front-ktm-b-1",
                          "front-lal-c-1",
                          "front-ktm-a-2",
                          "front-ktm-b-2",
                          "front-lal-c-2",
                          "front-ktm-a-3",
                          "front-ktm-b-3" }) {
    deployment.addInstance(id, std::string(id).substr(6, 5));
  }
  for (const char* zone : { "ktm-a", "ktm-b", "lal-c" }) {
    deployment.addTarget("dispatch", zone);
    deployment.addTarget("dispatch", zone);
    deployment.addTarget("certs", zone);
  }
  const std::vector<std::string> services{ "dispatch", "certs" };
  std::uint64_t version = 7;
  deployment.store.put("op/config",
                       configuration(version, routes(true), services));
  deployment.targets->start();
  deployment.startAll(true);
  deployment.awaitReady(20);
  Routers routers(deployment);
  const Callers::Router router = [&](const Address& from,
                                     const Address& route) -> const Instance& {
    return routers.select(from, route);
  };
  sleepFor(5);

  std::mutex mutex;
  std::size_t opened = 0;
  std::size_t moved = 0;
  std::size_t reset = 0;
  for (std::size_t round = 0; round < kRestarts; ++round) {
    const std::size_t restart = round % deployment.instances.size();
    if (withTrouble()) {
      version += 2;
      deployment.store.put("op/config",
                           configuration(version, routes(false), services));
      deployment.record.line(
        "configuration %llu acknowledged: without %zu routes",
        static_cast<unsigned long long>(version),
        kRoutes);
    }
    sleepFor(1.5);
    const double probe = routers.lastProbe(restart);
    sleepUntil(probe + Routers::kProbePeriod + 0.1);
    deployment.signalTo(restart, SIGTERM, "SIGTERM");
    const double out = routers.lastProbe(restart) + 2 * Routers::kProbePeriod;
    sleepUntil(out - kLead);
    version += 3;
    deployment.store.put("op/config",
                         configuration(version, routes(true), services));
    const double acknowledged = seconds();
    deployment.record.line("configuration %llu acknowledged: with all routes",
                           static_cast<unsigned long long>(version));
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      sleepUntil(acknowledged + kLead * static_cast<double>(i) / kCallers);
      callers.emplace_back([&, i] {
        const std::string id = std::to_string(round) + "-" + std::to_string(i);
        const Outcome outcome = deployment.callers->request(
          router, destination(i * 37 % kRoutes), id, 0.05);
        const std::lock_guard<std::mutex> lock(mutex);
        opened += outcome.opened ? 1 : 0;
        const bool hasMoved = outcome.opened && !outcome.lastThrough.empty() &&
                              outcome.lastThrough != outcome.openedThrough;
        moved += hasMoved ? 1 : 0;
        const bool isHeld = deployment.targets->holdsOpen(
          outcome.from, destination(i * 37 % kRoutes));
        reset += outcome.opened && outcome.resetBySystem && isHeld ? 1 : 0;
      });
    }
    for (std::thread& each : callers) {
      each.join();
    }
    deployment.awaitExit(restart);
    deployment.start(restart, false);
    deployment.awaitReady(10);
    sleepFor(1.5);
  }
  deployment.record.line(
    "of %zu opened flows %zu moved to another instance; the "
    "system reset %zu that their targets held open",
    opened,
    moved,
    reset);
  deployment.end(reset > 0 ? 1 : 0);
}
