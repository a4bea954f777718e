#ifndef BUCKTHORNWING_REPORT_FIELDS_H
#define BUCKTHORNWING_REPORT_FIELDS_H

#include "../Steering/TagBlackboard.h"

#include <boost/json.hpp>
#include <string>

namespace buckthornwing::internal {

/// \returns the age of a view in milliseconds; null if it was never confirmed.
inline boost::json::value
ageOrNull(MilliTime confirmedAt, MilliTime now)
{
  const auto age = viewAge(confirmedAt, now);
  return age ? boost::json::value(age->ms) : boost::json::value(nullptr);
}

/// \returns the names of the evacuated zones.
inline boost::json::array
evacuatedZones(const TagBlackboard& board)
{
  boost::json::array zones;
  for (const std::string& zone : board.pools.zonesEvacuated()) {
    zones.emplace_back(zone);
  }
  return zones;
}

}

#endif
