#ifndef BUCKTHORNWING_SUSPICION_H
#define BUCKTHORNWING_SUSPICION_H

#include "TargetSighting.h"

#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief A time in which one instance suspected a target.
struct Suspicion
{
  MilliTime time{}; ///< wall clock
  NameIndex target = 0;
  NameIndex instance = 0;
  std::optional<MilliDuration> lasted; ///< until it was trusted again, if ever
};

/// \param sightings sorted by target, then time
/// \returns the suspicions by target, then time.
std::vector<Suspicion>
findSuspicions(const SightingList& sightings);

}

#endif
