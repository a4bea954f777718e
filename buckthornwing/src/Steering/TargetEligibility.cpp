#include "TargetEligibility.h"

namespace buckthornwing {
namespace internal {

/// \returns whether a cold target has no room for a flow of this instance. A
/// target that has just become cold has none until the next tick.
bool
isWarmingUp(const TagBlackboard& board,
            ServiceSlot service,
            const KnownTarget& target,
            MilliTime now)
{
  if (!target.isCold(now)) {
    return false;
  }
  const auto& services = board.routes.routes().services;
  const bool isLimited =
    services[service].warmupRate > 0 || board.slowStart.limits(target.key);
  return isLimited && !board.slowStart.mayPlace(target.key, now);
}

}

std::optional<SteeringReason>
reasonAgainst(const TagBlackboard& board,
              ServiceSlot service,
              TargetSlot slot,
              MilliTime now)
{
  const KnownTarget& target = board.registry.at(slot);
  if (internal::isWarmingUp(board, service, target, now)) {
    return SteeringReason::warmingUp;
  }
  return std::nullopt;
}

SteeringReason
reasonWithoutTarget(const TagBlackboard& board,
                    ServiceSlot service,
                    MilliTime now)
{
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    const auto reason = reasonAgainst(board, service, slot, now);
    if (reason) {
      return *reason;
    }
  }
  return board.pools.evacuatedTargetsOf(service).empty()
           ? SteeringReason::noTarget
           : SteeringReason::evacuated;
}

}
