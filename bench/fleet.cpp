/// \file
/// \brief Benchmarks the messages between instances if the fabric returns flow
/// tags: bytes, messages and processing time by fleet size, up to the size
/// expected in two years.

#include "TagFleetData.h"

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <vector>

using namespace buckthornwing;
using namespace buckthornwing::bench;
using namespace buckthornwing::literals;

namespace {

/// \brief Number of bytes that sealing adds to an encoded message.
constexpr std::size_t kSealBytes = 48;
constexpr std::uint32_t kFlowsPerInstance = 60;

/// \brief A fleet of engines that deliver messages to each other without delay
/// and counts the messages and their bytes.
struct SimulatedFleet
{
  MilliTime now{ 100000 };
  std::map<Endpoint, std::unique_ptr<TagEngine>> engines;
  std::size_t bytes = 0;
  std::size_t messages = 0;

  SimulatedFleet(std::size_t instances, std::size_t targets)
  {
    const auto changes = listTargets(targets);
    for (std::size_t i = 0; i < instances; ++i) {
      const TagSettings settings = makeSettings(i);
      auto& engine = this->engines[settings.advertisedAddress];
      engine = std::make_unique<TagEngine>(settings);
      engine->onEvacuationListing({ kLoadedAt, {} }, this->now);
      engine->onRoutes(
        { { listRoutes(targets) }, kLoadedAt }, this->now, this->now);
      engine->onTargetListing({ kLoadedAt, changes }, this->now, this->now);
      this->openFlows(*engine, static_cast<std::uint32_t>(i), targets);
    }
  }

  void openFlows(TagEngine& engine, std::uint32_t instance, std::size_t targets)
  {
    const std::size_t services = targets / kTargetsPerService + 1;
    for (std::uint32_t i = 0; i < kFlowsPerInstance; ++i) {
      CallerPacket packet;
      packet.flow = makeFlowKey(instance * kFlowsPerInstance + i,
                                static_cast<std::uint16_t>(443 + i % services));
      packet.isOpening = true;
      engine.onPacket(packet, this->now);
    }
  }

  void run(MilliDuration span)
  {
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->now = this->now + kTagTickPeriod;
      std::vector<OutgoingFleetMessage> sent;
      for (auto& [address, engine] : this->engines) {
        engine->onTargetChanges(
          { kLoadedAt, kLoadedAt, {} }, this->now, this->now);
        engine->onRoutes({ {}, kLoadedAt }, this->now, this->now);
        engine->tick(this->now);
        for (auto& message : engine->takeOutgoing()) {
          sent.push_back(std::move(message));
        }
        engine->takeEvents();
      }
      for (const OutgoingFleetMessage& message : sent) {
        this->bytes += encodeFleetMessage(message.message).size() + kSealBytes;
        ++this->messages;
        const auto found = this->engines.find(message.to);
        if (found != this->engines.end()) {
          found->second->onFleetMessage(message.message, this->now);
        }
      }
    }
  }
};

void
fleetSecond(benchmark::State& state)
{
  const auto instances = static_cast<std::size_t>(state.range(0));
  SimulatedFleet fleet(instances, static_cast<std::size_t>(state.range(1)));
  fleet.run(4_s);
  fleet.bytes = 0;
  fleet.messages = 0;
  std::size_t seconds = 0;
  for (auto _ : state) {
    fleet.run(1_s);
    ++seconds;
  }
  const auto total = static_cast<double>(instances * seconds);
  state.counters["sent_bytes_per_s"] = static_cast<double>(fleet.bytes) / total;
  state.counters["sent_messages_per_s"] =
    static_cast<double>(fleet.messages) / total;
  state.counters["cores_an_instance"] = benchmark::Counter(
    total, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(fleetSecond)
  ->Args({ 8, 18 })
  ->Args({ 89, 150 })
  ->Args({ 570, 3100 })
  ->Iterations(3)
  ->Unit(benchmark::kMillisecond);

}
