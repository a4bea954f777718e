#include "Suspicion.h"

#include <map>

namespace buckthornwing {

std::vector<Suspicion>
findSuspicions(std::span<const TargetSighting> sightings)
{
  std::vector<Suspicion> suspicions;
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
