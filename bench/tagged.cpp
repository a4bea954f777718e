/// \file
/// \brief Measures decisions before a fabric that returns flow tags, beside
/// the naive choice. Decisions by owners are in bench.cpp.

#include "Tagged.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <vector>

using namespace buckthornwing;
using namespace buckthornwing::bench;
using namespace buckthornwing::literals;

namespace {

/// \brief One engine with a view of any size, and open flows.
struct Tagged
{
  MilliTime now{ 100000 };
  TagEngine engine;
  std::vector<CallerPacket> later;

  explicit Tagged(std::size_t targets)
    : engine(settingsOf(0))
  {
    const auto changes = listTargets(targets);
    this->engine.onRoutes(listRoutes(targets), this->now);
    this->engine.onTargetListing(changes.size(), changes, this->now, this->now);
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
