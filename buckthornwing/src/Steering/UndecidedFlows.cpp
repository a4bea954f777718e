#include "UndecidedFlows.h"

namespace buckthornwing {
namespace internal {

/// \brief Above this number the flows are cleared, to limit memory.
constexpr std::size_t kMaxUndecidedFlows = 10000;
/// \brief Longest time between two packets of a caller that waits. Callers
/// retransmit after 1.6 s at the latest; some of these packets are lost.
constexpr MilliDuration kMaxSilence{ 5000 };

}

MilliTime
UndecidedFlows::firstSeen(FlowId flow, MilliTime now)
{
  if (this->sightings.size() >= internal::kMaxUndecidedFlows) {
    this->sightings.clear();
  }
  Sighting& sighting =
    this->sightings.try_emplace(flow, Sighting{ now, now }).first->second;
  if (now - sighting.last > internal::kMaxSilence) {
    sighting.first = now;
  }
  sighting.last = now;
  return sighting.first;
}

}
