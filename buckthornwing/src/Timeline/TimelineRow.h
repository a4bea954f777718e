#ifndef BUCKTHORNWING_TIMELINE_ROW_H
#define BUCKTHORNWING_TIMELINE_ROW_H

#include "SecondCounts.h"

namespace buckthornwing {

/// \brief A row of the table: one second of one zone.
struct TimelineRow
{
  MilliTime second{}; ///< its start, wall clock
  std::string zone;
  SecondCounts counts;
};

}

#endif
