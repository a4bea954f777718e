/// \file
/// \brief Benchmarks the decisions of an engine if the fabric returns flow
/// tags, and a naive hash for comparison. bench.cpp benchmarks decisions
/// by owners.

#include "TagFleetData.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <vector>

using namespace buckthornwing;
using namespace buckthornwing::bench;
using namespace buckthornwing::literals;

namespace {

/// \brief An engine with a complete view of targets and routes, and the packets
/// of its open flows.
struct TagEngineFixture
{
  MilliTime now{ 100000 };
  TagEngine engine;
  std::vector<CallerPacket> establishedPackets;

  explicit TagEngineFixture(std::size_t targets)
    : engine(makeSettings(0))
  {
    const auto changes = listTargets(targets);
    this->engine.onEvacuationListing({ kLoadedAt, {} }, this->now);
    this->engine.onRoutes(
      { { listRoutes(targets) }, kLoadedAt }, this->now, this->now);
    this->engine.onTargetListing({ kLoadedAt, changes }, this->now, this->now);
  }

  SteeringDecision open(std::uint32_t client)
  {
    CallerPacket packet;
    packet.flow = makeFlowKey(client, 443);
    packet.isOpening = true;
    packet.sequence = 1000;
    return this->engine.onPacket(packet, this->now);
  }

  void openFlows(std::uint32_t count)
  {
    for (std::uint32_t i = 0; i < count; ++i) {
      CallerPacket packet;
      packet.flow = makeFlowKey(i, 443);
      packet.tag = this->open(i).tag;
      packet.sequence = 1000;
      packet.acknowledged = 1;
      this->engine.onPacket(packet, this->now);
      this->establishedPackets.push_back(packet);
    }
  }
};

void
taggedPacket(benchmark::State& state)
{
  TagEngineFixture fixture(static_cast<std::size_t>(state.range(0)));
  fixture.openFlows(20000);
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
      fixture.engine.onPacket(fixture.establishedPackets[next], fixture.now));
    next = next + 1 == fixture.establishedPackets.size() ? 0 : next + 1;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(taggedPacket)->Arg(18)->Arg(150)->Arg(3100);

void
taggedOpening(benchmark::State& state)
{
  TagEngineFixture fixture(static_cast<std::size_t>(state.range(0)));
  std::uint32_t client = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(fixture.open(client++ % 1000000));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(taggedOpening)->Arg(18)->Arg(150)->Arg(3100)->Iterations(200000);

/// \brief Measures the baseline for comparison: a hash of the flow over the
/// targets, without a view, loads or tags.
void
naivePacket(benchmark::State& state)
{
  const auto targets = static_cast<std::uint64_t>(state.range(0));
  std::vector<FlowKey> flows;
  for (std::uint32_t client = 0; client < 20000; ++client) {
    flows.push_back(makeFlowKey(client, 443));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(flowIdOf(flows[next], 1).bits % targets);
    next = next + 1 == flows.size() ? 0 : next + 1;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(naivePacket)->Arg(18)->Arg(3100);

/// \brief Measures loading a complete view, as after a start.
void
loadView(benchmark::State& state)
{
  for (auto _ : state) {
    TagEngineFixture fixture(static_cast<std::size_t>(state.range(0)));
    benchmark::DoNotOptimize(fixture.engine.ready());
  }
}
BENCHMARK(loadView)->Arg(18)->Arg(3100)->Unit(benchmark::kMillisecond);

/// \brief Measures applying the changes of ten targets, as from one watch of
/// the store.
void
applyChanges(benchmark::State& state)
{
  constexpr std::size_t kChanged = 10;
  const auto targets = static_cast<std::size_t>(state.range(0));
  TagEngineFixture fixture(targets);
  const std::vector<TargetChange> all = listTargets(targets);
  std::vector<TargetChange> changes(all.begin(), all.begin() + kChanged);
  std::uint64_t revision = kLoadedAt.revision;
  for (auto _ : state) {
    for (TargetChange& change : changes) {
      change.version.revision = ++revision;
      change.record.slots = 2 + revision % 2;
    }
    const StorePosition base = fixture.engine.board().registry.position();
    benchmark::DoNotOptimize(fixture.engine.onTargetChanges(
      { base, { 0, revision }, changes }, fixture.now, fixture.now));
    fixture.engine.takeEvents();
  }
}
BENCHMARK(applyChanges)->Arg(18)->Arg(3100)->Unit(benchmark::kMicrosecond);

/// \returns the number of allocated bytes, including large blocks that are
/// mapped directly.
std::size_t
bytesInUse()
{
  const auto usage = mallinfo2();
  return usage.uordblks + usage.hblkhd;
}

void
taggedMemory(benchmark::State& state)
{
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  double bytesPerFlow = 0;
  for (auto _ : state) {
    TagEngineFixture fixture(150);
    const std::size_t before = bytesInUse();
    for (std::uint32_t i = 0; i < flows; ++i) {
      fixture.open(i);
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

/// \brief Measures one tick of an engine with many targets when nothing has
/// changed.
void
taggedTick(benchmark::State& state)
{
  TagEngineFixture fixture(static_cast<std::size_t>(state.range(0)));
  fixture.openFlows(20000);
  for (auto _ : state) {
    fixture.now = fixture.now + kTagTickPeriod;
    fixture.engine.onTargetChanges(
      { kLoadedAt, kLoadedAt, {} }, fixture.now, fixture.now);
    fixture.engine.onRoutes({ {}, kLoadedAt }, fixture.now, fixture.now);
    fixture.engine.tick(fixture.now);
    benchmark::DoNotOptimize(fixture.engine.takeOutgoing());
  }
}
BENCHMARK(taggedTick)->Arg(150)->Arg(3100)->Unit(benchmark::kMicrosecond);

}
