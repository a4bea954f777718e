#ifndef BUCKTHORNWING_EVACUATION_LIST_H
#define BUCKTHORNWING_EVACUATION_LIST_H

#include "Evacuation.h"

#include <vector>

namespace buckthornwing {

/// \brief All evacuations that are in force at a position of the store's
/// history.
struct EvacuationList
{
  StorePosition asOf;
  std::vector<Evacuation> zones; ///< in ascending order of their names

  bool operator==(const EvacuationList&) const = default;
};

}

#endif
