#ifndef BUCKTHORNWING_TIMELINE_ROW_H
#define BUCKTHORNWING_TIMELINE_ROW_H

#include "SecondCounts.h"

namespace buckthornwing {

/// \brief A row of the table: the counts of one zone in one second.
struct TimelineRow
{
  MilliTime second{}; ///< start of the second, wall clock
  std::string zone;
  SecondCounts counts;
};

}

#endif
