/// \file
/// \brief Case 15: the settings files change and name another address of the
/// store. Changes that are acknowledged there must be in force in time.

#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kConfigApplyMs = 3000; // bounds: config_apply_ms
constexpr std::int64_t kOldStoreMs = 5000;    // it goes on answering so long
constexpr std::int64_t kCalmMs = 10000;       // until the configuration
constexpr std::int64_t kWatchedMs = 9000;
constexpr std::int64_t kHangUpGapMs = 2000; // over which SIGHUPs are spread

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
  const Ports ports;
  Store store({ folder.ip(0, 2), 8169 }, record);
  const Address movedTo{ folder.ip(0, 3), 8169 };
  const std::string zones[] = { "ktm-a", "ktm-b", "lal-c" };
  std::vector<std::unique_ptr<Target>> targets;
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

  if (folder.trouble) {
    store.listenAlso(movedTo);
    record.line("the store answers at " + movedTo.text() + " too");
    for (auto& each : instances) {
      each->moveStore(store.address, movedTo);
    }
    // Six of eight get the signal; the files of two change without one.
    constexpr std::size_t kSignalled = 6;
    for (std::size_t i = 0; i < kSignalled; ++i) {
      instances[i]->signal(SIGHUP);
      record.line("SIGHUP to " + instances[i]->settings.id);
      sleepMs(kHangUpGapMs / static_cast<std::int64_t>(kSignalled));
    }
    sleepMs(kOldStoreMs);
    store.closeFirst();
    record.line("the store no longer answers at " + store.address.text());
  } else {
    sleepMs(kHangUpGapMs + kOldStoreMs);
  }
  sleepMs(kCalmMs);
  store.put("op/config", configuration(19, { kept, added }, { "alpha" }));
  const std::int64_t ackedAt = nowMs();
  record.line("version 19 is acknowledged: it drops r-dropped, adds r-added");

  std::mutex mutex;
  std::vector<Try> tries;
  std::vector<std::thread> threads;
  unsigned host = 10;
  for (auto& instance : instances) {
    for (const RouteEntry* route : { &dropped, &added }) {
      threads.emplace_back(
        [&, each = instance.get(), route, ip = folder.ip(3, host++)] {
          Caller caller({ ip, ports.packets });
          for (int n = 0; nowMs() - ackedAt < kWatchedMs; ++n) {
            Try attempt{ route->name + "/" + each->settings.id + "/" +
                           std::to_string(n),
                         route->name,
                         each->settings.id,
                         nowMs(),
                         {} };
            auto flow = caller.newFlow(route->address);
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
            sleepMs(500 - (nowMs() - attempt.sentAt));
          }
        });
    }
  }
  for (std::thread& each : threads) {
    each.join();
  }
  std::set<std::string> ran;
  for (auto& target : targets) {
    for (const auto& [id, at] : target->ran()) {
      ran.insert(id);
    }
  }
  std::size_t broken = 0;
  std::size_t late = 0;
  for (const Try& each : tries) {
    const std::int64_t after = each.sentAt - ackedAt;
    const bool isLate = after > kConfigApplyMs;
    const bool isBroken =
      isLate && ((each.route == "r-dropped" && ran.contains(each.id)) ||
                 (each.route == "r-added" && each.end == Caller::End::refused));
    late += isLate ? 1 : 0;
    broken += isBroken ? 1 : 0;
    record.line(each.route + " via " + each.instance + " sent " +
                std::to_string(after) +
                " ms after the acknowledgement: " + endName(each.end) +
                (ran.contains(each.id) ? ", ran" : ", not run") +
                (isBroken ? "  BROKEN: as only version 7 allows" : ""));
  }
  record.line(std::to_string(broken) + " of " + std::to_string(late) +
              " requests later than the bound handled by version 7");
  std::printf("%zu of %zu late requests broken\n", broken, late);
  return broken == 0;
}

}

int
main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
