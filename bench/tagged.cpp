/// \file
/// \brief Measures decisions before a fabric that returns flow tags, beside
/// the naive choice; the owners' way is measured in bench.cpp.

#include <Fleet>
#include <Steering>

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <vector>

using namespace buckthornwing;
using namespace buckthornwing::literals;

namespace {

constexpr std::size_t kTargetsAService = 40;

FlowKey
flowOf(std::uint32_t client, std::uint16_t port)
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

TargetChange
listed(std::uint64_t number, std::size_t service)
{
  TargetChange change;
  change.id = "t-" + std::to_string(number);
  change.revision = number;
  change.kind = ChangeKind::listed;
  change.record.id = change.id;
  change.record.number = number;
  change.record.address = *parseEndpoint("10.0.0.1:9000");
  change.record.zone = "zone-" + std::to_string(number % 9);
  change.record.labels = { { "service", "s" + std::to_string(service) },
                           { "zone", change.record.zone } };
  change.record.slots = 2;
  return change;
}

RouteTable
routesOf(std::size_t services, std::size_t routes)
{
  RouteTable table;
  table.version = 1;
  table.revision = 1;
  for (std::size_t i = 0; i < services; ++i) {
    SelectedService service;
    service.name = "s" + std::to_string(i);
    service.selector.requirements.push_back(
      { "service", SelectorOperator::in, { service.name } });
    table.services.push_back(std::move(service));
  }
  for (std::size_t i = 0; i < routes; ++i) {
    Route route;
    route.name = "r" + std::to_string(i);
    route.destination =
      flowOf(0, static_cast<std::uint16_t>(443 + i)).destination;
    route.services = { { static_cast<ServiceSlot>(i % services), 1 } };
    table.routes.push_back(std::move(route));
  }
  return table;
}

/// \brief One engine with a view of any size, and open flows.
struct Tagged
{
  MilliTime now{ 100000 };
  TagEngine engine;
  std::vector<CallerPacket> later;

  explicit Tagged(std::size_t targets)
    : engine(settings())
  {
    const std::size_t services = targets / kTargetsAService + 1;
    std::vector<TargetChange> changes;
    for (std::size_t i = 0; i < targets; ++i) {
      changes.push_back(listed(i + 1, i % services));
    }
    this->engine.onRoutes(routesOf(services, services), this->now);
    this->engine.onTargetListing(changes.size(), changes, this->now, this->now);
  }

  static TagSettings settings()
  {
    TagSettings settings;
    settings.id = "entry-1";
    settings.zone = "zone-0";
    settings.advertisedAddress = *parseEndpoint("127.0.0.1:7001");
    settings.tagSecret = 7;
    settings.seed = 1;
    settings.policy.paced = false;
    return settings;
  }

  SteeringDecision open(std::uint32_t client)
  {
    CallerPacket packet;
    packet.flow = flowOf(client, 443);
    packet.opens = true;
    packet.sequence = 1000;
    return this->engine.onPacket(packet, this->now);
  }

  void openFlows(std::uint32_t count)
  {
    for (std::uint32_t i = 0; i < count; ++i) {
      CallerPacket packet;
      packet.flow = flowOf(i, 443);
      packet.tag = this->open(i).tag;
      packet.sequence = 1000;
      packet.acknowledged = 1;
      this->engine.onPacket(packet, this->now);
      this->later.push_back(packet);
    }
  }
};

void
taggedPacket(benchmark::State& state)
{
  Tagged world(static_cast<std::size_t>(state.range(0)));
  world.openFlows(20000);
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
      world.engine.onPacket(world.later[next], world.now));
    next = next + 1 == world.later.size() ? 0 : next + 1;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(taggedPacket)->Arg(18)->Arg(150)->Arg(3100);

void
taggedOpening(benchmark::State& state)
{
  Tagged world(static_cast<std::size_t>(state.range(0)));
  std::uint32_t client = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(world.open(client++ % 1000000));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(taggedOpening)->Arg(18)->Arg(150)->Arg(3100)->Iterations(200000);

/// The naive balancer: a hash over the targets, no view, no load, no tag.
void
naivePacket(benchmark::State& state)
{
  const auto targets = static_cast<std::uint64_t>(state.range(0));
  std::vector<FlowKey> flows;
  for (std::uint32_t client = 0; client < 20000; ++client) {
    flows.push_back(flowOf(client, 443));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(flowIdOf(flows[next], 1).bits % targets);
    next = next + 1 == flows.size() ? 0 : next + 1;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(naivePacket)->Arg(18)->Arg(3100);

/// Reading a whole view, as after a start.
void
loadView(benchmark::State& state)
{
  for (auto _ : state) {
    Tagged world(static_cast<std::size_t>(state.range(0)));
    benchmark::DoNotOptimize(world.engine.ready());
  }
}
BENCHMARK(loadView)->Arg(18)->Arg(3100)->Unit(benchmark::kMillisecond);

/// \returns bytes in use, those of large blocks included.
std::size_t
bytesInUse()
{
  const auto use = mallinfo2();
  return use.uordblks + use.hblkhd;
}

void
taggedMemory(benchmark::State& state)
{
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  double bytesPerFlow = 0;
  for (auto _ : state) {
    Tagged world(150);
    const std::size_t before = bytesInUse();
    for (std::uint32_t i = 0; i < flows; ++i) {
      world.open(i);
    }
    bytesPerFlow = static_cast<double>(bytesInUse() - before) / flows;
  }
  state.counters["bytes_per_flow"] = bytesPerFlow;
}
BENCHMARK(taggedMemory)
  ->Arg(30000)
  ->Arg(300000)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/// One tick of an engine with many targets, nothing being new.
void
taggedTick(benchmark::State& state)
{
  Tagged world(static_cast<std::size_t>(state.range(0)));
  world.openFlows(20000);
  for (auto _ : state) {
    world.now = world.now + kTagTickPeriod;
    world.engine.onTargetChanges(0, {}, world.now, world.now);
    world.engine.onRoutesConfirmed(0, world.now);
    world.engine.tick(world.now);
    benchmark::DoNotOptimize(world.engine.takeOutgoing());
  }
}
BENCHMARK(taggedTick)->Arg(150)->Arg(3100)->Unit(benchmark::kMicrosecond);

}
