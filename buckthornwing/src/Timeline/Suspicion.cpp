#include "Suspicion.h"

#include <algorithm>
#include <map>

namespace buckthornwing {

std::vector<Suspicion>
findSuspicions(const TargetEventList& targetEvents)
{
  std::vector<Suspicion> suspicions;
  suspicions.reserve(static_cast<std::size_t>(std::count_if(
    targetEvents.begin(), targetEvents.end(), [](const auto& event) {
      return event.kind == TargetEventKind::suspected;
    })));
  std::map<NameIndex, std::size_t> ongoingByInstance; // of one target
  for (std::size_t i = 0; i < targetEvents.size(); ++i) {
    const TargetEvent& event = targetEvents[i];
    if (i > 0 && targetEvents[i - 1].target != event.target) {
      ongoingByInstance.clear();
    }
    if (event.kind == TargetEventKind::suspected) {
      ongoingByInstance[event.instance] = suspicions.size();
      suspicions.push_back({ event.time, event.target, event.instance, {} });
    }
    const auto ongoing = ongoingByInstance.find(event.instance);
    if (event.kind == TargetEventKind::trusted &&
        ongoing != ongoingByInstance.end()) {
      Suspicion& suspicion = suspicions[ongoing->second];
      suspicion.duration = event.time - suspicion.time;
      ongoingByInstance.erase(ongoing);
    }
  }
  return suspicions;
}

}
