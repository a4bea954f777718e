/// \file
/// \brief Benchmarks the time of decisions and configuration changes and the
/// memory of the flow table of the owner-based engine (Google Benchmark).

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

/// \returns a configuration document in which each service selects about 14
/// targets. The target whose index is the revision drains.
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
makeSettings(const std::string& id)
{
  EngineSettings settings;
  settings.id = id;
  settings.zone = "zone-0";
  settings.peerAddress = *parseEndpoint("127.0.0.1:7001");
  return settings;
}

/// \brief A live engine without peers.
struct SingleEngine
{
  Engine engine{ makeSettings("entry-1"), 1, 1, MilliTime{} };
  MilliTime now{};

  explicit SingleEngine(const std::string& text)
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

/// \returns the configuration document of a deployment at its current size.
std::string
currentDeployment()
{
  return measure::initialDocument(measure::findDeployment("prairie")).toJson();
}

FlowKey
makeFlowKey(std::uint32_t number)
{
  FlowKey key = *parseFlowKey("tcp 10.0.0.1:1000 203.0.113.20:443");
  for (unsigned i = 0; i < 4; ++i) {
    key.source.address.bytes[12 + i] =
      static_cast<std::uint8_t>((0x0a000000U + number) >> (24U - 8U * i));
  }
  return key;
}

std::vector<std::vector<std::uint8_t>>
buildPackets(std::size_t count, TcpFlags flags)
{
  std::vector<std::vector<std::uint8_t>> packets;
  for (std::uint32_t i = 0; i < count; ++i) {
    packets.push_back(buildTcpPacket(makeFlowKey(i), flags, {}));
  }
  return packets;
}

void
knownFlow(benchmark::State& state)
{
  SingleEngine single(currentDeployment());
  const auto count = static_cast<std::size_t>(state.range(0));
  for (const auto& packet : buildPackets(count, { .syn = true })) {
    single.engine.onPacket(packet, single.now);
    single.engine.outbox().clear();
  }
  const auto packets = buildPackets(count, { .ack = true });
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(single.engine.onPacket(packets[i], single.now));
    i = i + 1 == count ? 0 : i + 1;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(knownFlow)->Arg(1000)->Arg(20000)->Arg(200000);

void
newFlow(benchmark::State& state)
{
  constexpr std::size_t kBatch = 100000;
  const auto packets = buildPackets(kBatch, { .syn = true });
  std::unique_ptr<SingleEngine> single;
  std::size_t i = kBatch;
  for (auto _ : state) {
    if (i == kBatch) {
      state.PauseTiming();
      single = std::make_unique<SingleEngine>(currentDeployment());
      i = 0;
      state.ResumeTiming();
    }
    benchmark::DoNotOptimize(
      single->engine.onPacket(packets[i++], single->now));
    if (single->engine.outbox().events.size() > 64) {
      single->engine.outbox().clear();
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(newFlow);

/// \brief Measures opening and decoding of a relayed packet, and the sealing
/// by the sender.
void
relayedFlow(benchmark::State& state)
{
  const FleetKey key = deriveFleetKey("the fleet's secret");
  PeerCodec sender(key, 1);
  PeerCodec receiver(key, 1);
  PeerMessage message;
  message.body = Relay{ { 1 }, buildPackets(1, { .ack = true }).front() };
  for (auto _ : state) {
    PeerMessage received;
    const auto datagram = sender.seal(message);
    benchmark::DoNotOptimize(receiver.open(datagram, received));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(relayedFlow);

/// \brief Measures the memory of the flow table, in bytes per flow.
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

/// \brief Measures applying a whole document in which a different target drains
/// than before.
void
applyConfiguration(benchmark::State& state)
{
  const auto services = static_cast<std::size_t>(state.range(0));
  const auto targets = static_cast<std::size_t>(state.range(1));
  SingleEngine single(largeDocument(1, services, targets));
  std::uint64_t revision = 1;
  for (auto _ : state) {
    state.PauseTiming();
    const std::string text = largeDocument(++revision, services, targets);
    state.ResumeTiming();
    single.engine.onConfiguration(text, single.now);
    single.engine.outbox().clear();
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

/// \brief Measures the ten ticks of one second of an instance without peers, by
/// numbers of services and targets.
void
secondOfServices(benchmark::State& state)
{
  SingleEngine single(largeDocument(1,
                                    static_cast<std::size_t>(state.range(0)),
                                    static_cast<std::size_t>(state.range(1))));
  for (auto _ : state) {
    for (int i = 0; i < 10; ++i) {
      single.tick();
    }
  }
}
BENCHMARK(secondOfServices)
  ->Args({ 2, 42 })
  ->Args({ 1500, 3100 })
  ->Iterations(20)
  ->Unit(benchmark::kMicrosecond);

/// \brief Measures one tick of an instance with peers, and the bytes that it
/// sends per second.
void
memberTick(benchmark::State& state)
{
  const auto size = static_cast<std::size_t>(state.range(0));
  SingleEngine single(currentDeployment());
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
    single.engine.onPeerMessage(
      { header, Probe{ ProbeKind::acknowledge, 0, 0, { update } } },
      single.now);
    single.engine.onPeerMessage({ header, BucketStates{ 0, 1, 0, 1, {}, "" } },
                                single.now);
  }
  const auto acknowledgeTransfers = [&] {
    // Each peer acknowledges the transfers that it received; the message also
    // shows that the peer is alive.
    Acknowledgement confirmed;
    for (const OutgoingMessage& sent : single.engine.outbox().messages) {
      if (const auto* transfer =
            std::get_if<OwnershipTransfer>(&sent.message.body)) {
        confirmed.sequences.push_back(transfer->sequence);
      }
    }
    single.engine.outbox().clear();
    single.now = single.now + kTickPeriod;
    for (const PeerHeader& header : headers) {
      single.engine.onPeerMessage({ header, confirmed }, single.now);
    }
    single.engine.outbox().clear();
  };
  // Completes the initial handover to the new owners, which is not part of
  // the cost at steady state.
  for (int i = 0; i < 300; ++i) {
    acknowledgeTransfers();
    single.engine.tick(single.now);
  }
  std::uint64_t bytes = 0;
  std::uint64_t ticks = 0;
  for (auto _ : state) {
    state.PauseTiming();
    acknowledgeTransfers();
    state.ResumeTiming();
    single.engine.tick(single.now);
    state.PauseTiming();
    for (const OutgoingMessage& sent : single.engine.outbox().messages) {
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

/// \brief Measures computing the owner table after a membership change.
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

/// \brief Measures the ten ticks of one second, in which the engine iterates
/// over the whole flow table.
void
flowWalk(benchmark::State& state)
{
  SingleEngine single(currentDeployment());
  const auto count = static_cast<std::size_t>(state.range(0));
  for (const auto& packet : buildPackets(count, { .syn = true })) {
    single.engine.onPacket(packet, single.now);
    single.engine.outbox().clear();
  }
  for (auto _ : state) {
    for (int i = 0; i < 10; ++i) {
      single.tick();
    }
  }
}
BENCHMARK(flowWalk)->Arg(1000)->Arg(30000)->Arg(100000)->Iterations(50)->Unit(
  benchmark::kMicrosecond);

}

BENCHMARK_MAIN();
