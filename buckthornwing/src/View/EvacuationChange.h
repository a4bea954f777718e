#ifndef BUCKTHORNWING_EVACUATION_CHANGE_H
#define BUCKTHORNWING_EVACUATION_CHANGE_H

#include "StorePosition.h"

#include <string>

namespace buckthornwing {

/// \brief A change of the entry that evacuates a zone.
struct EvacuationChange
{
  std::string zone;
  ChangeVersion version;
  bool isWithdrawn = false; ///< the entry was removed
};

}

#endif
