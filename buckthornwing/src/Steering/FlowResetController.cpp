#include "FlowResetController.h"

namespace buckthornwing {

bool
benefitsFromReset(const TrackedFlow& flow)
{
  return flow.established && (!flow.requested || isRepeatable(flow.kind));
}

std::vector<FlowToReset>
FlowResetController::resetFlowsOf(TargetSlot target)
{
  std::vector<FlowToReset> resetFlows;
  std::vector<FlowId> ids;
  const bool hasLeft =
    this->board.registry.at(target).presence == TargetPresence::gone;
  if (!hasLeft && !this->board.hasAnswered(target)) {
    return resetFlows;
  }
  for (const auto& [id, flow] : this->board.observer.all()) {
    const bool benefits =
      benefitsFromReset(flow) || (hasLeft && flow.established);
    if (flow.target == target && !flow.closed && benefits &&
        this->board.hasLostTarget(flow)) {
      resetFlows.push_back({ flow.key, flow.acknowledged, target, hasLeft });
      ids.push_back(id);
    }
  }
  for (const FlowId id : ids) {
    this->board.observer.onReset(id);
  }
  return resetFlows;
}

}
