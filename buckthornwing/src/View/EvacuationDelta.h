#ifndef BUCKTHORNWING_EVACUATION_DELTA_H
#define BUCKTHORNWING_EVACUATION_DELTA_H

#include "EvacuationChange.h"

#include <span>

namespace buckthornwing {

/// \brief The changes of evacuations between two positions of the store's
/// history.
struct EvacuationDelta
{
  StorePosition base; ///< the changes continue from here
  StorePosition asOf;
  std::span<const EvacuationChange> changes; ///< in the order of their versions
};

}

#endif
