#include "UnknownTargets.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Targets that live register again within 2 s of the registry's
/// return.
constexpr MilliDuration kRegistryRecovery{ 2500 };
constexpr std::size_t kMostUnknownFlows = 10000;
constexpr MilliDuration kListingPeriod{ 1000 };

}

bool
UnknownTargets::isGoneForGood(const TagBoard& board,
                              FlowId flow,
                              bool isRepeatable,
                              MilliTime now)
{
  if (this->firstSeen.size() >= internal::kMostUnknownFlows) {
    this->firstSeen.clear();
  }
  const MilliTime seen = this->firstSeen.try_emplace(flow, now).first->second;
  const MilliTime uncertainAt =
    isRepeatable
      ? board.registry.lastUnwell()
      : std::max(board.registry.lastUnwell(), board.registry.loadedAt());
  const bool isWell = now - uncertainAt > internal::kRegistryRecovery;
  if (!isWell || board.targetsCertainAt < seen) {
    this->isWaiting = this->isWaiting || isWell;
    return false;
  }
  this->firstSeen.erase(flow);
  return true;
}

bool
UnknownTargets::wantsListing(MilliTime now)
{
  if (!this->isWaiting || now < this->nextListing) {
    return false;
  }
  this->isWaiting = false;
  this->nextListing = now + internal::kListingPeriod;
  return true;
}

}
