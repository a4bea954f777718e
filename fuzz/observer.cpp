/// \file
/// \brief Fuzzes the flow observer with sequences of clients' packets.
///
/// After each packet, the load of each target must equal the counts of the
/// flows that the observer tracks.

#include <Observation>

#include <cstdlib>
#include <map>
#include <vector>

using namespace buckthornwing;

namespace {

/// \brief Input bytes per packet: flag bits, flow and target, sequence numbers,
/// time since the previous packet.
constexpr std::size_t kBytesPerPacket = 4;
constexpr unsigned kTargets = 4;
constexpr MilliDuration kIdleTimeout{ 2000 };

void
require(bool condition)
{
  if (!condition) {
    std::abort();
  }
}

/// \brief Counts open and busy flows of each target and compares the counts
/// with the target's load.
void
checkLoads(const FlowObserver& observer)
{
  std::map<TargetSlot, std::pair<int, int>> counts;
  for (const auto& [id, flow] : observer.all()) {
    if (!flow.closed) {
      ++counts[flow.target].first;
      counts[flow.target].second += flow.busy ? 1 : 0;
    }
  }
  for (TargetSlot target = 0; target < kTargets; ++target) {
    require(observer.load(target).flows == counts[target].first);
    require(observer.load(target).busy == counts[target].second);
    require(observer.load(target).silentFlows >= 0);
    require(observer.load(target).serviceTime.estimate(MilliTime{}).ms >= 0);
  }
}

}

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  FlowObserver observer;
  MilliTime now{ 1000 };
  const std::vector<std::uint8_t> payload(64, 'x');
  for (TargetSlot target = 0; target < kTargets; ++target) {
    observer.mutableLoad(target);
  }
  for (std::size_t position = 0; position + kBytesPerPacket <= size;
       position += kBytesPerPacket) {
    const std::uint8_t flagBits = data[position];
    const FlowId id{ data[position + 1] % 16U + 1U };
    const TargetSlot target = data[position + 1] / 16 % kTargets;
    now.ms += data[position + 3] * 4;
    CallerPacket packet;
    packet.flow.source.port = static_cast<std::uint16_t>(id.bits);
    packet.isOpening = (flagBits & 1U) != 0;
    packet.isFinish = (flagBits & 2U) != 0;
    packet.isReset = (flagBits & 4U) != 0;
    packet.sequence = data[position + 2] * 16U;
    packet.acknowledged = data[position + 2] / 4U;
    packet.payload = std::span(payload).first((flagBits & 8U) != 0 ? 64 : 0);
    if ((flagBits & 0xc0U) == 0xc0U) {
      observer.onReset(id);
    } else if ((flagBits & 0xc0U) == 0x80U) {
      observer.sweep(now, kIdleTimeout);
    } else {
      const auto kind = (flagBits & 16U) != 0 ? RouteKind::nonIdempotent
                                              : RouteKind::idempotent;
      observer.onForwarded(packet, id, target, kind, FlowTag{ 1 }, now);
    }
    checkLoads(observer);
  }
  return 0;
}
