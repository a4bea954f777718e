#include "OpeningPace.h"

namespace buckthornwing {
namespace internal {

/// \brief Requests in progress for each slot at which a target is crowded.
constexpr double kCrowdedPerSlot = 2.5;
/// \brief Callers give up after an opening and two copies of it.
constexpr std::uint32_t kLastCopy = 2;

}

bool
OpeningPace::shouldDrop(const TagBoard& board,
                        TargetSlot target,
                        std::uint32_t openingCopy) const
{
  // Only what was seen: a guess at peers' choices would drop openings in calm.
  const TargetLoad& load = board.observer.load(target);
  const double slots =
    static_cast<double>(board.registry.at(target).record.slots);
  return openingCopy < internal::kLastCopy && slots > 0 &&
         load.busy + load.peerBusy >= internal::kCrowdedPerSlot * slots;
}

}
