/// \file
/// \brief Measures the cost of decisions and of state (Google Benchmark).

#include "../measure/Deployment.h"

#include <Core>
#include <Distribution>
#include <Engine>
#include <Peer>

#include <benchmark/benchmark.h>
#include <boost/json.hpp>

#include <malloc.h>
#include <memory>

using namespace buckthornwing;
using namespace buckthornwing::literals;

namespace {

/// \brief A document of any size: services of some targets each.
std::string
largeDocument(std::uint64_t revision, std::size_t services, std::size_t targets)
{
  namespace json = boost::json;
  json::array serviceList;
  for (std::size_t i = 0; i < services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    serviceList.push_back(json::object{
      { "name", name },
      { "addresses",
        json::array{ "203." + std::to_string(i / 250) + ".113." +
                     std::to_string(i % 250) } },
      { "protocol", "tcp" },
      { "ports", json::array{ 443 } },
      { "selector", "group=g" + std::to_string(i % (targets / 14)) },
      { "balance", "sticky" } });
  }
  json::array targetList;
  for (std::size_t i = 0; i < targets; ++i) {
    targetList.push_back(json::object{
      { "id", "t-" + std::to_string(i) },
      { "address", "127.0.0.1" },
      { "tunnel_port", 6000 },
      { "zone", "zone-" + std::to_string(i % 9) },
      { "labels",
        json::object{ { "group", "g" + std::to_string(i % (targets / 14)) } } },
      { "state", i == revision ? "draining" : "serving" } });
  }
  return json::serialize(json::object{ { "revision", revision },
                                       { "hash_seed", "ab" },
                                       { "services", serviceList },
                                       { "targets", targetList } });
}

EngineSettings
settingsOf(const std::string& id)
{
  EngineSettings settings;
  settings.id = id;
  settings.zone = "zone-0";
  settings.peerAddress = *parseEndpoint("127.0.0.1:7001");
  return settings;
}

/// \brief An engine that is alone and live, at the sizes of today.
struct Lone
{
  Engine engine{ settingsOf("entry-1"), 1, 1, MilliTime{} };
  MilliTime now{};

  explicit Lone(const std::string& text)
  {
    this->engine.onConfiguration(text, this->now);
    for (int i = 0; i < 60; ++i) {
      this->tick();
    }
  }

  void tick()
  {
    this->now = this->now + kTickPeriod;
    this->engine.tick(this->now);
    this->engine.outbox().clear();
  }
};

std::string
today()
{
  return measure::initialDocument(measure::findDeployment("prairie")).toJson();
}

FlowKey
keyOf(std::uint32_t number)
{
  FlowKey key = *parseFlowKey("tcp 10.0.0.1:1000 203.0.113.20:443");
  for (unsigned i = 0; i < 4; ++i) {
    key.source.address.bytes[12 + i] =
      static_cast<std::uint8_t>((0x0a000000U + number) >> (24U - 8U * i));
  }
  return key;
}

std::vector<std::vector<std::uint8_t>>
packetsOf(std::size_t count, TcpFlags flags)
{
  std::vector<std::vector<std::uint8_t>> packets;
  for (std::uint32_t i = 0; i < count; ++i) {
    packets.push_back(buildTcpPacket(keyOf(i), flags, {}));
  }
  return packets;
}

void
knownFlow(benchmark::State& state)
{
  Lone lone(today());
  const auto count = static_cast<std::size_t>(state.range(0));
  for (const auto& packet : packetsOf(count, { .syn = true })) {
    lone.engine.onPacket(packet, lone.now);
    lone.engine.outbox().clear();
  }
  const auto packets = packetsOf(count, { .ack = true });
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(lone.engine.onPacket(packets[i], lone.now));
    i = i + 1 == count ? 0 : i + 1;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(knownFlow)->Arg(1000)->Arg(20000)->Arg(200000);

void
newFlow(benchmark::State& state)
{
  constexpr std::size_t kBatch = 100000;
  const auto packets = packetsOf(kBatch, { .syn = true });
  std::unique_ptr<Lone> lone;
  std::size_t i = kBatch;
  for (auto _ : state) {
    if (i == kBatch) {
      state.PauseTiming();
      lone = std::make_unique<Lone>(today());
      i = 0;
      state.ResumeTiming();
    }
    benchmark::DoNotOptimize(lone->engine.onPacket(packets[i++], lone->now));
    if (lone->engine.outbox().events.size() > 64) {
      lone->engine.outbox().clear();
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(newFlow);

/// \brief A packet as a peer relays it: opened, decoded and decided.
void
relayedFlow(benchmark::State& state)
{
  const FleetKey key = deriveFleetKey("the fleet's secret");
  PeerCodec sender(key, 1);
  PeerCodec receiver(key, 1);
  PeerMessage message;
  message.body = Relay{ { 1 }, packetsOf(1, { .ack = true }).front() };
  for (auto _ : state) {
    PeerMessage received;
    const auto datagram = sender.seal(message);
    benchmark::DoNotOptimize(receiver.open(datagram, received));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(relayedFlow);

/// \brief Memory of the flow table, in bytes a flow.
void
flowMemory(benchmark::State& state)
{
  const auto count = static_cast<std::uint64_t>(state.range(0));
  for (auto _ : state) {
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    FlowTable flows;
    for (std::uint64_t i = 0; i < count; ++i) {
      flows.emplace(FlowId{ mixWords(i, 1) >> 16U }, FlowEntry{});
    }
    const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
    state.counters["bytes_a_flow"] =
      static_cast<double>(after - before) / static_cast<double>(count);
  }
}
BENCHMARK(flowMemory)->Arg(30000)->Arg(100000)->Arg(1000000);

void
rebuildTable(benchmark::State& state)
{
  std::vector<std::string> ids;
  for (int i = 0; i < state.range(0); ++i) {
    ids.push_back("t-" + std::to_string(i));
  }
  const std::vector<std::string_view> views(ids.begin(), ids.end());
  for (auto _ : state) {
    benchmark::DoNotOptimize(
      buildLookupTable(views, bucketCountFor(views.size()), 7));
  }
}
BENCHMARK(rebuildTable)->Arg(14)->Arg(3100)->Unit(benchmark::kMicrosecond);

/// \brief A drain of one target, applied to a whole document.
void
applyConfiguration(benchmark::State& state)
{
  const auto services = static_cast<std::size_t>(state.range(0));
  const auto targets = static_cast<std::size_t>(state.range(1));
  Lone lone(largeDocument(1, services, targets));
  std::uint64_t revision = 1;
  for (auto _ : state) {
    state.PauseTiming();
    const std::string text = largeDocument(++revision, services, targets);
    state.ResumeTiming();
    lone.engine.onConfiguration(text, lone.now);
    lone.engine.outbox().clear();
    state.counters["document_bytes"] = static_cast<double>(text.size());
  }
}
BENCHMARK(applyConfiguration)
  ->Args({ 2, 42 })
  ->Args({ 1500, 3100 })
  ->Unit(benchmark::kMillisecond)
  ->Iterations(10);

void
configurationDelta(benchmark::State& state)
{
  const std::string before = largeDocument(1, 1500, 3100);
  const std::string after = largeDocument(2, 1500, 3100);
  for (auto _ : state) {
    const auto delta = computeDelta(before, after);
    state.counters["delta_bytes"] = static_cast<double>(delta->size());
  }
}
BENCHMARK(configurationDelta)->Unit(benchmark::kMillisecond)->Iterations(10);

/// \brief A second of a lone instance, by services and targets.
void
secondOfServices(benchmark::State& state)
{
  Lone lone(largeDocument(1,
                          static_cast<std::size_t>(state.range(0)),
                          static_cast<std::size_t>(state.range(1))));
  for (auto _ : state) {
    for (int i = 0; i < 10; ++i) {
      lone.tick();
    }
  }
}
BENCHMARK(secondOfServices)
  ->Args({ 2, 42 })
  ->Args({ 1500, 3100 })
  ->Iterations(20)
  ->Unit(benchmark::kMicrosecond);

/// \brief One tick of a member of a fleet, and what it sends a second.
void
memberTick(benchmark::State& state)
{
  const auto size = static_cast<std::size_t>(state.range(0));
  Lone lone(today());
  std::vector<PeerHeader> headers;
  for (std::size_t i = 1; i < size; ++i) {
    MemberUpdate update;
    update.id = "peer-" + std::to_string(i);
    update.zone = "zone-" + std::to_string(i % 9);
    update.address = Endpoint{ *parseIpAddress("127.0.0.1"),
                               static_cast<std::uint16_t>(8000 + i) };
    update.liveness = Liveness::alive;
    update.phase = Phase::live;
    update.incarnation = 1;
    const PeerHeader header{ memberTag(update.id), 1, Phase::live, 1, 0 };
    headers.push_back(header);
    lone.engine.onPeerMessage(
      { header, Probe{ ProbeKind::acknowledge, 0, 0, { update } } }, lone.now);
    lone.engine.onPeerMessage({ header, BucketStates{ 0, 1, 0, 1, {}, "" } },
                              lone.now);
  }
  const auto answer = [&] {
    // Every peer confirms what it was sent, and so is heard.
    Acknowledgement confirmed;
    for (const OutgoingMessage& sent : lone.engine.outbox().messages) {
      if (const auto* transfer =
            std::get_if<OwnershipTransfer>(&sent.message.body)) {
        confirmed.sequences.push_back(transfer->sequence);
      }
    }
    lone.engine.outbox().clear();
    lone.now = lone.now + kTickPeriod;
    for (const PeerHeader& header : headers) {
      lone.engine.onPeerMessage({ header, confirmed }, lone.now);
    }
    lone.engine.outbox().clear();
  };
  // The hand-over to so many new owners is no part of the steady cost.
  for (int i = 0; i < 300; ++i) {
    answer();
    lone.engine.tick(lone.now);
  }
  std::uint64_t bytes = 0;
  std::uint64_t ticks = 0;
  for (auto _ : state) {
    state.PauseTiming();
    answer();
    state.ResumeTiming();
    lone.engine.tick(lone.now);
    state.PauseTiming();
    for (const OutgoingMessage& sent : lone.engine.outbox().messages) {
      constexpr std::size_t kSealBytes = 29;
      bytes += encodeEnvelope(sent.message).size() + kSealBytes;
    }
    ++ticks;
    state.ResumeTiming();
  }
  state.counters["bytes_a_second"] =
    static_cast<double>(bytes) / static_cast<double>(ticks) * 10;
}
BENCHMARK(memberTick)
  ->Arg(8)
  ->Arg(64)
  ->Arg(570)
  ->Iterations(200)
  ->Unit(benchmark::kMicrosecond);

/// \brief The owner table after a change of the fleet.
void
ownerTable(benchmark::State& state)
{
  std::vector<Member> members(static_cast<std::size_t>(state.range(0)));
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].id = "entry-" + std::to_string(i);
    members[i].zone = "zone-" + std::to_string(i % 9);
    members[i].liveness = Liveness::alive;
    members[i].phase = Phase::live;
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(computeOwners(members));
  }
}
BENCHMARK(ownerTable)->Arg(8)->Arg(64)->Arg(570)->Unit(benchmark::kMicrosecond);

/// \brief The walk over the flow table that each second brings.
void
flowWalk(benchmark::State& state)
{
  Lone lone(today());
  const auto count = static_cast<std::size_t>(state.range(0));
  for (const auto& packet : packetsOf(count, { .syn = true })) {
    lone.engine.onPacket(packet, lone.now);
    lone.engine.outbox().clear();
  }
  for (auto _ : state) {
    for (int i = 0; i < 10; ++i) {
      lone.tick();
    }
  }
}
BENCHMARK(flowWalk)->Arg(1000)->Arg(30000)->Arg(100000)->Iterations(50)->Unit(
  benchmark::kMicrosecond);

}

BENCHMARK_MAIN();
