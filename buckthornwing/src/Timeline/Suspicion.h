#ifndef BUCKTHORNWING_SUSPICION_H
#define BUCKTHORNWING_SUSPICION_H

#include "TargetEvent.h"

#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief A period in which one instance suspected a target.
struct Suspicion
{
  MilliTime time{}; ///< start, wall clock
  NameIndex target = 0;
  NameIndex instance = 0;
  std::optional<MilliDuration> duration; ///< empty if it was not trusted again
};

/// \param targetEvents sorted by target, then time
/// \returns the suspicions, sorted by target, then time.
std::vector<Suspicion>
findSuspicions(const TargetEventList& targetEvents);

}

#endif
