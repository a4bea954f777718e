#ifndef BUCKTHORNWING_DEATH_DETECTION_H
#define BUCKTHORNWING_DEATH_DETECTION_H

#include "TargetEvent.h"

#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief Evidence from another instance that a target found dead was alive.
struct Contradiction
{
  NameIndex instance = 0; ///< instance that considered the target alive
  MilliDuration offset{}; ///< time since the detection; negative if earlier
};

/// \brief The detection by one instance that a target is dead, with the
/// evidence against it and the flows that were reset as a result.
struct DeathDetection
{
  MilliTime time{}; ///< wall clock
  NameIndex target = 0;
  NameIndex instance = 0; ///< instance that found the target dead
  NameIndex note = 0;     ///< note of the log line: reason of the detection
  std::optional<Contradiction> contradiction; ///< the closest in time
  std::vector<NameIndex> resetFlows; ///< flows that were reset as a result
};

/// \param targetEvents sorted by target, then time
/// \returns the detections, sorted by time.
std::vector<DeathDetection>
findDeathDetections(const TargetEventList& targetEvents);

}

#endif
