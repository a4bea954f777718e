#ifndef BUCKTHORNWING_TIMELINE_JSON_H
#define BUCKTHORNWING_TIMELINE_JSON_H

#include "Spell.h"

#include <boost/json/object.hpp>

namespace buckthornwing {

boost::json::object
toJson(const TimelineRow& row);

boost::json::object
toJson(const Spell& spell);

/// \param report names the instances and targets
boost::json::object
toJson(const TimelineReport& report, const DeathVerdict& verdict);

}

#endif
