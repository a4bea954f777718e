#include "UnknownRoutes.h"

namespace buckthornwing {
namespace internal {

/// \brief What a peer told of the store's confirmations may have waited so long
/// at a full link.
constexpr MilliDuration kLongestNewsDelay{ 1000 };
constexpr std::size_t kMostWaitingFlows = 10000;

}

bool
UnknownRoutes::isDropped(const TagBoard& board,
                         const Endpoint& destination,
                         FlowId flow,
                         MilliTime now)
{
  if (board.routes.sawRemoval(destination)) {
    return true;
  }
  if (this->firstSeen.size() >= internal::kMostWaitingFlows) {
    this->firstSeen.clear();
  }
  const MilliTime seen = this->firstSeen.try_emplace(flow, now).first->second;
  if (board.routesConfirmedAt <= seen + internal::kLongestNewsDelay) {
    return false;
  }
  this->firstSeen.erase(flow);
  return true;
}

}
