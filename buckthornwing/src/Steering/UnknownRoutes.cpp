#include "UnknownRoutes.h"

namespace buckthornwing {
namespace internal {

/// \brief Longest time that a peer's message about a confirmation by the store
/// may have queued at a congested link.
constexpr MilliDuration kMaxConfirmationDelay{ 1000 };
/// \brief Above this number the flows are cleared, to limit memory.
constexpr std::size_t kMaxWaitingFlows = 10000;

}

bool
UnknownRoutes::isRemoved(const TagBlackboard& board,
                         const Endpoint& destination,
                         FlowId flow,
                         MilliTime now)
{
  if (board.routes.wasRemoved(destination)) {
    return true;
  }
  if (this->firstSeen.size() >= internal::kMaxWaitingFlows) {
    this->firstSeen.clear();
  }
  const MilliTime seen = this->firstSeen.try_emplace(flow, now).first->second;
  if (board.routesConfirmedAt <= seen + internal::kMaxConfirmationDelay) {
    return false;
  }
  this->firstSeen.erase(flow);
  return true;
}

}
