#include "PlacementAperture.h"

#include <algorithm>
#include <limits>

namespace buckthornwing {
namespace internal {

/// \brief Weight of the requests in progress that peers reported. Most of them
/// have ended when the report is used.
constexpr double kReportedBusyWeight = 0.25;
/// \brief Weight of an open flow, which may send a request later.
constexpr double kFlowWeight = 0.1;
/// \brief Weight of a request that must wait for a slot.
constexpr double kWaitingWeight = 6.0;
/// \brief Added to the load per slot of a target outside the aperture: one
/// inside is preferred until all its slots are busy.
constexpr double kOutsideWeight = 2.0;

/// \returns the load per slot of a target, by which the targets of a zone are
/// compared.
double
apertureLoad(const TagBlackboard& board, const ApertureTarget& target)
{
  const TargetLoad& load = board.observer.load(target.slot);
  const double busy = load.busy + kReportedBusyWeight * load.peerBusy;
  const double flows = load.flows + load.peerFlows;
  const double waiting = std::max(0.0, busy + 1 - target.capacity);
  const double weighted = busy + kFlowWeight * flows + kWaitingWeight * waiting;
  return weighted / target.capacity + kOutsideWeight * (1 - target.share);
}

}

void
layAperture(std::span<ApertureTarget> targets,
            std::size_t rank,
            std::size_t instances)
{
  std::sort(targets.begin(),
            targets.end(),
            [](const ApertureTarget& left, const ApertureTarget& right) {
              return left.key < right.key;
            });
  double total = 0;
  for (const ApertureTarget& target : targets) {
    total += target.capacity;
  }
  const double width = total / static_cast<double>(instances);
  const double begin = width * static_cast<double>(rank % instances);
  const double end = begin + width;
  double at = 0;
  for (ApertureTarget& target : targets) {
    const double overlap =
      std::min(at + target.capacity, end) - std::max(at, begin);
    target.share = std::max(0.0, overlap) / target.capacity;
    at += target.capacity;
  }
}

TargetSlot
chooseInAperture(const TagBlackboard& board,
                 std::span<ApertureTarget> targets,
                 FlowId flow)
{
  layAperture(targets, board.zoneRank, board.zonePeers + 1);
  TargetSlot best = kNoTargetSlot;
  double bestLoad = std::numeric_limits<double>::max();
  std::uint64_t bestScore = 0;
  for (const ApertureTarget& target : targets) {
    if (!target.isEligible) {
      continue;
    }
    const double load = internal::apertureLoad(board, target);
    const std::uint64_t score = mixWords(flow.bits, target.key);
    if (load < bestLoad || (load == bestLoad && score > bestScore)) {
      best = target.slot;
      bestLoad = load;
      bestScore = score;
    }
  }
  return best;
}

}
