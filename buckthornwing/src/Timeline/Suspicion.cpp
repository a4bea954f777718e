#include "Suspicion.h"

#include <algorithm>
#include <map>

namespace buckthornwing {

std::vector<Suspicion>
findSuspicions(const SightingList& sightings)
{
  std::vector<Suspicion> suspicions;
  suspicions.reserve(static_cast<std::size_t>(
    std::count_if(sightings.begin(), sightings.end(), [](const auto& sighting) {
      return sighting.kind == SightingKind::suspected;
    })));
  std::map<NameIndex, std::size_t> openByInstance; // of the present target
  for (std::size_t i = 0; i < sightings.size(); ++i) {
    const TargetSighting& sighting = sightings[i];
    if (i > 0 && sightings[i - 1].target != sighting.target) {
      openByInstance.clear();
    }
    if (sighting.kind == SightingKind::suspected) {
      openByInstance[sighting.instance] = suspicions.size();
      suspicions.push_back(
        { sighting.time, sighting.target, sighting.instance, {} });
    }
    const auto open = openByInstance.find(sighting.instance);
    if (sighting.kind == SightingKind::trusted &&
        open != openByInstance.end()) {
      Suspicion& suspicion = suspicions[open->second];
      suspicion.lasted = sighting.time - suspicion.time;
      openByInstance.erase(open);
    }
  }
  return suspicions;
}

}
