#include "RescueController.h"

namespace buckthornwing {

bool
gainsByReset(const TrackedFlow& flow)
{
  return flow.established && (!flow.requested || isRepeatable(flow.kind));
}

std::vector<RescuedFlow>
RescueController::rescueFrom(TargetSlot target)
{
  std::vector<RescuedFlow> rescued;
  std::vector<FlowId> ids;
  const bool hasLeft =
    this->board.registry.at(target).presence == TargetPresence::gone;
  for (const auto& [id, flow] : this->board.observer.all()) {
    const bool gains = gainsByReset(flow) || (hasLeft && flow.established);
    if (flow.target == target && !flow.closed && gains) {
      rescued.push_back({ flow.key, flow.acknowledged, target, hasLeft });
      ids.push_back(id);
    }
  }
  for (const FlowId id : ids) {
    this->board.observer.onReset(id);
  }
  return rescued;
}

}
