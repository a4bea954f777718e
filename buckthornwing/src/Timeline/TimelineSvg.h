#ifndef BUCKTHORNWING_TIMELINE_SVG_H
#define BUCKTHORNWING_TIMELINE_SVG_H

#include "TimelineReport.h"

namespace buckthornwing {

/// \brief Draws the rows of a report as an SVG image: a band for each zone with
/// a lane for each kind of count. The higher the count, the darker the shade.
///
/// In a long log a column comprises several seconds.
/// \returns the SVG document, without content if the report has no rows.
std::string
drawTimelineSvg(const TimelineReport& report);

}

#endif
