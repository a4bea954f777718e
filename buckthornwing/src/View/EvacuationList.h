#ifndef BUCKTHORNWING_EVACUATION_LIST_H
#define BUCKTHORNWING_EVACUATION_LIST_H

#include "StorePosition.h"

#include <string>
#include <vector>

namespace buckthornwing {

/// \brief The operator's request to send no new flows to the targets of a zone.
struct Evacuation
{
  std::string zone;
  ChangeVersion version; ///< of the entry with the request

  bool operator==(const Evacuation&) const = default;
};

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
