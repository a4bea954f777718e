#ifndef BUCKTHORNWING_TARGET_SIGHTING_H
#define BUCKTHORNWING_TARGET_SIGHTING_H

#include "../Core/MilliTime.h"
#include "NameTable.h"

#include <deque>

namespace buckthornwing {

/// \brief What an instance may find out about a target.
enum class SightingKind : std::uint8_t
{
  suspected,
  trusted,
  dead,
  probedAlive,
  reset, ///< a flow of it was reset because it is silent
};

/// \brief One instance's finding about one target.
struct TargetSighting
{
  MilliTime time{}; ///< wall clock
  NameIndex target = 0;
  NameIndex instance = 0;
  NameIndex detail = 0; ///< the flow of a reset, else the note
  SightingKind kind = SightingKind::suspected;
};

/// \brief Many sightings; it grows without a second copy of them in memory.
using SightingList = std::deque<TargetSighting>;

}

#endif
