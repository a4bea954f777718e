#ifndef BUCKTHORNWING_TEST_PACED_OPENINGS_H
#define BUCKTHORNWING_TEST_PACED_OPENINGS_H

#include <Steering>

#include <algorithm>

namespace buckthornwing::test {

/// \returns whether all targets of an instance's zone seem crowded to it. A
/// policy that drops openings then is compared with the present one.
inline bool
seemsCrowded(const TagBoard& board)
{
  constexpr double kCrowdedPerSlot = 2.5;
  const auto pool = board.pools.targetsOf(0);
  return std::all_of(pool.begin(), pool.end(), [&](TargetSlot slot) {
    const TargetRecord& target = board.registry.at(slot).record;
    const TargetLoad& load = board.observer.load(slot);
    return target.zone != board.settings.zone ||
           load.busy + load.peerBusy >= kCrowdedPerSlot * target.slots;
  });
}

}

#endif
