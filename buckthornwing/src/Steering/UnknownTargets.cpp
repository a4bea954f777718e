#include "UnknownTargets.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time after a store failure during which entries may be missing. Live
/// targets register again within 2 s of the store's recovery.
constexpr MilliDuration kRegistryRecovery{ 2500 };
/// \brief Shortest time between two full reads of the registry.
constexpr MilliDuration kListingPeriod{ 1000 };

}

bool
UnknownTargets::hasTargetLeft(const TagBlackboard& board,
                              FlowId flow,
                              MilliTime now)
{
  const MilliTime seen = this->undecided.firstSeen(flow, now);
  const MilliTime uncertainAt =
    std::max(board.registry.lastStoreFailure(), board.registry.loadedAt());
  const bool isWell = now - uncertainAt > internal::kRegistryRecovery;
  if (!isWell || board.targetsCompleteAt < seen) {
    this->needsListing = this->needsListing || isWell;
    return false;
  }
  this->undecided.remove(flow);
  return true;
}

bool
UnknownTargets::needsTargetListing(MilliTime now)
{
  if (!this->needsListing || now < this->nextListing) {
    return false;
  }
  this->needsListing = false;
  this->nextListing = now + internal::kListingPeriod;
  return true;
}

}
