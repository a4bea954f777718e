/// \file
/// \brief Fuzzes sequences of callers' packets: loads stay consistent with the
/// flows that the observer knows, whatever arrives.

#include <Observation>

#include <cstdlib>
#include <map>
#include <vector>

using namespace buckthornwing;

namespace {

constexpr std::size_t kBytesAPacket = 4; // kind, flow and target, numbers, time
constexpr unsigned kTargets = 4;
constexpr MilliDuration kIdle{ 2000 };

void
require(bool condition)
{
  if (!condition) {
    std::abort();
  }
}

/// \brief Counts flows and busy ones of each target from the flows themselves.
void
checkLoads(const FlowObserver& observer)
{
  std::map<TargetSlot, std::pair<int, int>> counted;
  for (const auto& [id, flow] : observer.all()) {
    if (!flow.closed) {
      ++counted[flow.target].first;
      counted[flow.target].second += flow.busy ? 1 : 0;
    }
  }
  for (TargetSlot target = 0; target < kTargets; ++target) {
    require(observer.load(target).flows == counted[target].first);
    require(observer.load(target).busy == counted[target].second);
    require(observer.load(target).silentFlows >= 0);
    require(observer.load(target).serviceMs >= 0);
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
  for (std::size_t at = 0; at + kBytesAPacket <= size; at += kBytesAPacket) {
    const std::uint8_t what = data[at];
    const FlowId id{ data[at + 1] % 16U + 1U };
    const TargetSlot target = data[at + 1] / 16 % kTargets;
    now.ms += data[at + 3] * 4;
    CallerPacket packet;
    packet.flow.source.port = static_cast<std::uint16_t>(id.bits);
    packet.opens = (what & 1U) != 0;
    packet.finishes = (what & 2U) != 0;
    packet.resets = (what & 4U) != 0;
    packet.sequence = data[at + 2] * 16U;
    packet.acknowledged = data[at + 2] / 4U;
    packet.payload = std::span(payload).first((what & 8U) != 0 ? 64 : 0);
    if ((what & 0xc0U) == 0xc0U) {
      observer.onReset(id);
    } else if ((what & 0xc0U) == 0x80U) {
      observer.sweep(now, kIdle);
    } else {
      const auto kind =
        (what & 16U) != 0 ? RouteKind::nonIdempotent : RouteKind::idempotent;
      observer.onForwarded(packet, id, target, kind, FlowTag{ 1 }, now);
    }
    checkLoads(observer);
  }
  return 0;
}
