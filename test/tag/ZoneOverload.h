#ifndef BUCKTHORNWING_TEST_ZONE_OVERLOAD_H
#define BUCKTHORNWING_TEST_ZONE_OVERLOAD_H

#include <Steering>

#include <algorithm>

namespace buckthornwing::test {

/// \returns whether an instance sees all targets of its own zone as overloaded.
///
/// A policy that drops openings in this case is compared with the present
/// policy, which always places them.
inline bool
isZoneOverloaded(const TagBlackboard& board)
{
  // Requests in progress or queued.
  constexpr double kOverloadPerSlot = 2.5;
  const auto pool = board.pools.targetsOf(0);
  return std::all_of(pool.begin(), pool.end(), [&](TargetSlot slot) {
    const TargetRecord& target = board.registry.at(slot).record;
    const TargetLoad& load = board.observer.load(slot);
    return target.zone != board.settings.zone ||
           load.busy + load.peerBusy >= kOverloadPerSlot * target.slots;
  });
}

}

#endif
