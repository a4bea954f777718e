/// \file
/// \brief Case 11: another writer's entry, which lacks a field and names
/// another service, under the key of a living target.

#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kSettleMs = 5000;
constexpr std::int64_t kEntryAtMs = 3000;
constexpr std::int64_t kWatchedMs = 8000;

struct Try
{
  std::string id;
  std::int64_t sentAt = 0;
  Caller::End end{};
};

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
  const RouteEntry route{ "r-alpha", { folder.ip(0, 200), 8443 }, "alpha" };
  const RouteEntry other{ "r-beta", { folder.ip(0, 201), 8443 }, "beta" };
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
  sleepMs(kSettleMs);

  const std::int64_t startedAt = nowMs();
  std::mutex mutex;
  std::vector<Try> tries;
  std::vector<std::thread> threads;
  threads.reserve(instances.size());
  unsigned host = 10;
  for (auto& instance : instances) {
    threads.emplace_back([&, each = instance.get(), ip = folder.ip(3, host++)] {
      Caller caller({ ip, ports.packets });
      for (int n = 0; nowMs() - startedAt < kWatchedMs; ++n) {
        Try attempt{ each->settings.id + "/" + std::to_string(n), nowMs(), {} };
        auto flow = caller.newFlow(route.address);
        attempt.end = caller.open(flow, each->packets());
        if (attempt.end == Caller::End::answered) {
          attempt.end = caller.request(
            flow, attempt.id, [&] { return each->packets(); }, 1000);
          caller.close(flow, each->packets());
        }
        {
          const std::lock_guard<std::mutex> lock(mutex);
          tries.push_back(attempt);
        }
        sleepMs(50 - (nowMs() - attempt.sentAt));
      }
    });
  }
  sleepMs(kEntryAtMs - (nowMs() - startedAt));
  Target& odd = *targets[3];
  if (folder.trouble) {
    store.put("servers/" + odd.id,
              "{\"service\":\"alpha\",\"address\":\"" + odd.address.text() +
                "\",\"zone\":\"" + odd.zone +
                "\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
                "\"warmup_left_ms\":0,\"seq\":1}");
    record.line("another writer writes servers/" + odd.id + ", a target of " +
                odd.service + ": service alpha, without \"born\"");
  }
  for (std::thread& each : threads) {
    each.join();
  }
  std::map<std::string, const Target*> ranAt;
  for (auto& target : targets) {
    for (const auto& [id, at] : target->ran()) {
      ranAt[id] = target.get();
    }
  }
  std::size_t broken = 0;
  for (const Try& each : tries) {
    const auto at = ranAt.find(each.id);
    const bool isForeign = at != ranAt.end() && at->second->service != "alpha";
    broken += isForeign ? 1 : 0;
    record.line("r-alpha via " + each.id + " sent at " +
                std::to_string(each.sentAt - startedAt) +
                " ms: " + endName(each.end) + ", " +
                (at == ranAt.end() ? std::string("not run")
                                   : "ran at " + at->second->id + " of " +
                                       at->second->service) +
                (isForeign ? "  BROKEN: no configuration allows it" : ""));
  }
  record.line(std::to_string(broken) + " of " + std::to_string(tries.size()) +
              " requests run by the other service");
  std::printf("%zu of %zu run by the other service\n", broken, tries.size());
  return broken == 0;
}

}

int
main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
