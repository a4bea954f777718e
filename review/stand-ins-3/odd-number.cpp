/// \file
/// \brief Case 12: another writer's entry, which lacks a field, has the digits
/// and the address of a target of another service. That target starts again
/// under its id; then all instances are killed and start again.

#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kDrainMs = 3000; // bounds: drain_ms
constexpr std::int64_t kSettleMs = 5000;
constexpr std::int64_t kDownMs = 1000;
constexpr int kRequests = 30; // through each instance

bool
run(CaseFolder& folder)
{
  Record& record = *folder.record;
  const Ports ports;
  Store store({ folder.ip(0, 2), 8169 }, record);
  const std::string zones[] = { "ktm-a", "ktm-b", "lal-c" };
  std::vector<std::unique_ptr<Target>> targets;
  const auto makeTarget = [&](unsigned i) {
    char id[32];
    std::snprintf(id, sizeof id, "i-%08x", 0x7f3a0001u + i * 0x01010101u);
    return std::make_unique<Target>(id,
                                    i < 3 ? "alpha" : "beta",
                                    zones[i % 3],
                                    Address{ folder.ip(1, 10 + i), 8080 },
                                    ports.packets,
                                    store,
                                    record);
  };
  for (unsigned i = 0; i < 6; ++i) {
    targets.push_back(makeTarget(i));
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

  constexpr unsigned kOther = 3; // a target of beta
  const std::string id = targets[kOther]->id;
  const Address address = targets[kOther]->address;
  targets[kOther]->report("draining");
  record.line(id + " of beta reports draining");
  sleepMs(kDrainMs + 1000);
  targets[kOther].reset();
  store.remove("servers/" + id);
  record.line(id + " has left");
  const std::string oddId = "x-" + id.substr(id.find('-') + 1);
  Worker writer;
  if (folder.trouble) {
    const std::string entry =
      "{\"service\":\"alpha\",\"address\":\"" + address.text() +
      "\",\"zone\":\"" + zones[0] +
      "\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
      "\"warmup_left_ms\":0,\"seq\":";
    writer.start([&store, oddId, entry, beat = 0]() mutable {
      store.beat("servers/" + oddId, entry, std::to_string(++beat) + "}");
      sleepMs(kHeartbeatMs);
    });
    record.line("another writer writes servers/" + oddId +
                " of alpha, without \"born\", at " + address.text());
  }
  sleepMs(2500);
  targets[kOther] = makeTarget(kOther);
  record.line(id + " of beta has started again under its id and address");
  sleepMs(3000);
  for (auto& each : instances) {
    each->kill();
  }
  record.line("all instances are killed");
  sleepMs(kDownMs);
  for (auto& each : instances) {
    each->start();
  }
  if (!waitUntilReady(instances, 15000)) {
    throw CannotRun("instances are not ready again");
  }
  sleepMs(kSettleMs);

  Caller caller({ folder.ip(3, 10), ports.packets });
  std::size_t answered = 0;
  for (int n = 0; n < kRequests; ++n) {
    for (auto& each : instances) {
      const std::string name = each->settings.id + "/" + std::to_string(n);
      auto flow = caller.newFlow(route.address);
      auto end = caller.open(flow, each->packets());
      if (end == Caller::End::answered) {
        end = caller.request(
          flow, name, [&] { return each->packets(); }, 1000);
        caller.close(flow, each->packets());
      }
      answered += end == Caller::End::answered ? 1 : 0;
    }
  }
  std::size_t broken = 0;
  for (auto& target : targets) {
    for (const auto& [name, at] : target->ran()) {
      const bool isForeign = target->service != "alpha";
      broken += isForeign ? 1 : 0;
      record.line("request " + name + " on r-alpha ran at " + target->id +
                  " of " + target->service +
                  (isForeign ? "  BROKEN: no configuration allows it" : ""));
    }
  }
  record.line(std::to_string(answered) + " requests answered, " +
              std::to_string(broken) + " run by the other service");
  std::printf("%zu answered, %zu run by the other service\n", answered, broken);
  return broken == 0;
}

}

int
main(int argc, char** argv)
{
  return runCase(argc, argv, run);
}
