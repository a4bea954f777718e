#ifndef BUCKTHORNWING_TIMELINE_PICTURE_H
#define BUCKTHORNWING_TIMELINE_PICTURE_H

#include "TimelineReport.h"

namespace buckthornwing {

/// \brief Draws a report as SVG: a band for each zone with a lane for each
/// thing counted; the more of it, the darker.
///
/// Long logs are drawn with several seconds in a column.
std::string
drawTimeline(const TimelineReport& report);

}

#endif
