/// \file
/// \brief Case 14: the loss of many machines at once, right before a change of
/// the configuration. The machines that remain must apply it in time.

#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kConfigApplyMs = 3000; // bounds: config_apply_ms
constexpr std::int64_t kWatchedMs = 8000;
constexpr unsigned kMachinesPerZone = 6;
/// \brief The machines that remain, one in each zone: the last ones in the
/// order in which instances read the store, a hash of their names.
const std::set<std::string> kSurvivors{ "front-ktm-a-4",
                                        "front-ktm-b-3",
                                        "front-lal-c-5" };

struct Try
{
  std::string id;
  std::string route;
  std::string instance;
  std::int64_t sentAt = 0;
  Caller::End end{};
};

bool
run(CaseFolder& folder)
{
  Record& record = *folder.record;
  Ports ports;
  Store store({ folder.ip(0, 2), 8169 }, record);
  std::vector<std::unique_ptr<Target>> targets;
  const std::string zones[] = { "ktm-a", "ktm-b", "lal-c" };
  for (unsigned i = 0; i < 6; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "i-%08x", 0x7f3a0001u + i * 0x01010101u);
    targets.push_back(
      std::make_unique<Target>(id,
                               "alpha",
                               zones[i % 3],
                               Address{ folder.ip(1, 10 + i), 8080 },
                               ports.packets,
                               store,
                               record));
  }
  const RouteEntry kept{ "r-kept", { folder.ip(0, 200), 8443 }, "alpha" };
  const RouteEntry dropped{ "r-dropped", { folder.ip(0, 201), 8443 }, "alpha" };
  const RouteEntry added{ "r-added", { folder.ip(0, 202), 8443 }, "alpha" };
  store.put("op/config", configuration(7, { kept, dropped }, { "alpha" }));

  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::string> seeds;
  for (unsigned z = 0; z < 3; ++z) {
    seeds.push_back(folder.ip(2, 10 + z * 40));
  }
  for (unsigned z = 0; z < 3; ++z) {
    for (unsigned i = 0; i < kMachinesPerZone; ++i) {
      InstanceSettings machine;
      machine.id = "front-" + zones[z] + "-" + std::to_string(i + 1);
      machine.zone = zones[z];
      machine.ip = folder.ip(2, 10 + z * 40 + i);
      instances.push_back(std::make_unique<Instance>(
        machine, ports, seeds, store.address, folder.folder));
      instances.back()->start();
    }
  }
  if (!waitUntilReady(instances, 15000)) {
    throw CannotRun("instances are not ready");
  }
  record.line(std::to_string(instances.size()) + " instances are ready");
  sleepMs(8000);

  std::vector<Instance*> survivors;
  for (auto& each : instances) {
    if (kSurvivors.contains(each->settings.id)) {
      survivors.push_back(each.get());
    } else if (folder.trouble) {
      each->signal(SIGKILL);
    }
  }
  if (folder.trouble) {
    record.line(std::to_string(instances.size() - survivors.size()) +
                " machines are lost and don't return");
  }
  sleepMs(50);
  store.put("op/config", configuration(19, { kept, added }, { "alpha" }));
  const std::int64_t ackedAt = nowMs();
  record.line("version 19 is acknowledged: it drops r-dropped, adds r-added");

  std::mutex mutex;
  std::vector<Try> tries;
  std::vector<std::thread> threads;
  unsigned host = 10;
  for (Instance* instance : survivors) {
    for (const RouteEntry* route : { &dropped, &added }) {
      threads.emplace_back([&, instance, route, ip = folder.ip(3, host++)] {
        Caller caller({ ip, ports.packets });
        for (int n = 0; nowMs() - ackedAt < kWatchedMs; ++n) {
          Try each{ route->name + "/" + instance->settings.id + "/" +
                      std::to_string(n),
                    route->name,
                    instance->settings.id,
                    nowMs(),
                    {} };
          auto flow = caller.newFlow(route->address);
          each.end = caller.open(flow, instance->packets());
          if (each.end == Caller::End::answered) {
            each.end = caller.request(
              flow, each.id, [&] { return instance->packets(); }, 1000);
            caller.close(flow, instance->packets());
          }
          {
            const std::lock_guard<std::mutex> lock(mutex);
            tries.push_back(each);
          }
          sleepMs(100 - (nowMs() - each.sentAt));
        }
      });
    }
  }
  for (std::thread& each : threads) {
    each.join();
  }
  for (Instance* each : survivors) {
    if (each->hasEnded()) {
      record.line(each->settings.id + " has ended by itself");
    }
  }
  std::map<std::string, std::int64_t> ran;
  for (auto& target : targets) {
    for (const auto& [id, at] : target->ran()) {
      ran[id] = at;
    }
  }
  std::size_t broken = 0;
  std::int64_t latest = 0;
  for (const Try& each : tries) {
    const std::int64_t after = each.sentAt - ackedAt;
    const bool isStale =
      (each.route == "r-dropped" && ran.contains(each.id)) ||
      (each.route == "r-added" && each.end == Caller::End::refused);
    latest = isStale ? std::max(latest, after) : latest;
    const bool isBroken = isStale && after > kConfigApplyMs;
    broken += isBroken ? 1 : 0;
    record.line(each.route + " via " + each.instance + " sent " +
                std::to_string(after) +
                " ms after the acknowledgement: " + endName(each.end) +
                (ran.contains(each.id) ? ", ran" : ", not run") +
                (isBroken ? "  BROKEN: as only version 7 allows" : ""));
  }
  record.line("last request handled by version 7: sent " +
              std::to_string(latest) + " ms after the acknowledgement; " +
              std::to_string(broken) + " later than the bound");
  std::printf("latest stale %lld ms, broken %zu\n",
              static_cast<long long>(latest),
              broken);
  return broken == 0;
}

}

int
main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
