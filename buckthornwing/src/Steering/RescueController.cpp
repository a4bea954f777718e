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
  for (const auto& [id, flow] : this->board.observer.all()) {
    if (flow.target == target && !flow.closed && gainsByReset(flow)) {
      rescued.push_back({ flow.key, flow.acknowledged, target });
      ids.push_back(id);
    }
  }
  for (const FlowId id : ids) {
    this->board.observer.onReset(id);
  }
  return rescued;
}

}
