#ifndef BUCKTHORNWING_ZONE_SUM_H
#define BUCKTHORNWING_ZONE_SUM_H

#include "../Core/MilliTime.h"

namespace buckthornwing {

/// \brief Load that all instances of one zone cause at one target.
struct ZoneSum
{
  double flows = 0; ///< open flows
  double busy = 0;  ///< requests in progress or queued
  MilliTime at{};   ///< time of receipt; unused for the own zone
};

}

#endif
