#ifndef BUCKTHORNWING_DEATH_VERDICT_H
#define BUCKTHORNWING_DEATH_VERDICT_H

#include "TargetSighting.h"

#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief A sign of life of a target that another instance holds for dead.
struct Contradiction
{
  NameIndex instance = 0;
  MilliDuration offset{}; ///< from the verdict; negative if it came before
};

/// \brief One instance's finding that a target is dead, and what speaks against
/// it.
struct DeathVerdict
{
  MilliTime time{}; ///< wall clock
  NameIndex target = 0;
  NameIndex instance = 0;
  NameIndex note = 0;
  std::optional<Contradiction> contradiction; ///< the nearest in time
  std::vector<NameIndex> resetFlows;          ///< that it made reset there
};

/// \param sightings sorted by target, then time
/// \returns the verdicts by time.
std::vector<DeathVerdict>
findDeathVerdicts(const SightingList& sightings);

}

#endif
