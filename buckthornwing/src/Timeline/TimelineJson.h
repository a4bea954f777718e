#ifndef BUCKTHORNWING_TIMELINE_JSON_H
#define BUCKTHORNWING_TIMELINE_JSON_H

#include "Anomaly.h"

#include <boost/json/object.hpp>

namespace buckthornwing {

boost::json::object
toJson(const TimelineRow& row);

boost::json::object
toJson(const Anomaly& anomaly);

/// \param report contains the names of the instances and targets
boost::json::object
toJson(const TimelineReport& report, const DeathDetection& detection);

}

#endif
