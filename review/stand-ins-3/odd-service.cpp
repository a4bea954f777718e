/// \file
/// \brief Case 13: another writer writes an entry of a service that no
/// configuration names under the key of a living target.

#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kFlowsMs = 9000;
constexpr std::int64_t kEntryAtMs = 4000;

struct Outcome
{
  std::uint16_t port = 0;
  std::string instance;
  Caller::End end = Caller::End::answered;
  Packet reset;
  std::int64_t at = 0; ///< of the reset, since the first flow
};

/// \brief Sends requests on one open flow until it ends.
Outcome
useFlow(Caller& caller,
        const RouteEntry& route,
        const Instance& instance,
        std::int64_t startedAt)
{
  Outcome out;
  out.instance = instance.settings.id;
  auto flow = caller.newFlow(route.address);
  out.port = flow.port;
  out.end = caller.open(flow, instance.packets());
  for (int n = 0;
       out.end == Caller::End::answered && nowMs() - startedAt < kFlowsMs;
       ++n) {
    const std::string id = std::to_string(flow.port) + "/" + std::to_string(n);
    out.end = caller.request(
      flow, id, [&] { return instance.packets(); }, 4000);
    if (out.end == Caller::End::answered) {
      sleepMs(250);
    }
  }
  if (out.end == Caller::End::reset) {
    out.reset = caller.lastReset;
  }
  out.at = nowMs() - startedAt;
  return out;
}

bool
run(CaseFolder& folder)
{
  Record& record = *folder.record;
  const Ports ports;
  Store store({ folder.ip(0, 2), 8169 }, record);
  const std::string zones[] = { "ktm-a", "ktm-b", "lal-c" };
  std::vector<std::unique_ptr<Target>> targets;
  for (unsigned i = 0; i < 6; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "i-%08x", 0x7f3a0001u + i * 0x01010101u);
    targets.push_back(
      std::make_unique<Target>(id,
                               i < 3 ? "alpha" : "beta",
                               zones[i % 3],
                               Address{ folder.ip(1, 10 + i), 8080 },
                               ports.packets,
                               store,
                               record));
  }
  const RouteEntry route{ "r-feed", { folder.ip(0, 200), 8443 }, "alpha" };
  const RouteEntry other{ "r-other", { folder.ip(0, 201), 8443 }, "beta" };
  store.put("op/config",
            configuration(7, { route, other }, { "alpha", "beta" }));
  std::vector<std::unique_ptr<Instance>> instances;
  const std::vector<std::string> seeds{ folder.ip(2, 10),
                                        folder.ip(2, 11),
                                        folder.ip(2, 12) };
  for (unsigned i = 0; i < 8; ++i) {
    InstanceSettings machine;
    machine.zone = zones[i % 3];
    machine.id = "front-" + machine.zone + "-" + std::to_string(i / 3 + 1);
    machine.ip = folder.ip(2, 10 + i);
    instances.push_back(std::make_unique<Instance>(
      machine, ports, seeds, store.address, folder.folder));
    instances.back()->start();
  }
  if (!waitUntilReady(instances, 15000)) {
    throw CannotRun("instances are not ready");
  }
  record.line("8 instances are ready");
  sleepMs(5000);

  const std::int64_t startedAt = nowMs();
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> threads;
  std::vector<std::unique_ptr<Caller>> callers;
  for (unsigned i = 0; i < 24; ++i) {
    callers.push_back(
      std::make_unique<Caller>(Address{ folder.ip(3, 10 + i), ports.packets }));
    threads.emplace_back([&, i, caller = callers.back().get()] {
      const Outcome out =
        useFlow(*caller, route, *instances[i % instances.size()], startedAt);
      const std::lock_guard<std::mutex> lock(mutex);
      outcomes.push_back(out);
    });
    sleepMs(20);
  }
  sleepMs(kEntryAtMs - (nowMs() - startedAt));
  Target& target = *targets[0];
  if (folder.trouble) {
    store.put("servers/" + target.id,
              target.entry(unixMs(), targets[3]->address, "gamma") + "1}");
    record.line("another writer writes servers/" + target.id +
                ": service gamma, which no configuration names, address of " +
                targets[3]->id);
  }
  for (std::thread& each : threads) {
    each.join();
  }
  std::size_t broken = 0;
  std::size_t atTarget = 0;
  for (const Outcome& each : outcomes) {
    std::string owner = "no target";
    for (const auto& every : targets) {
      owner = every->openings().contains(each.port) ? every->id : owner;
    }
    const bool isOwnReset =
      each.end == Caller::End::reset && each.reset.sum == 0;
    atTarget += owner == target.id ? 1 : 0;
    broken += isOwnReset ? 1 : 0;
    record.line(
      "flow from port " + std::to_string(each.port) + " via " + each.instance +
      " at " + owner + ": " + endName(each.end) + " after " +
      std::to_string(each.at) + " ms" +
      (isOwnReset ? ", by the system, the target lives  BROKEN" : ""));
  }
  record.line(std::to_string(target.strays().size()) + ", " +
              std::to_string(targets[3]->strays().size()) +
              " packets for another target at " + target.id + ", " +
              targets[3]->id);
  record.line(std::to_string(atTarget) + " flows at " + target.id + ", " +
              std::to_string(broken) + " reset by the system");
  return broken == 0;
}

}

int
main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
