#ifndef BUCKTHORNWING_ZONE_SUMS_H
#define BUCKTHORNWING_ZONE_SUMS_H

#include "../Core/MilliTime.h"
#include "FleetMessage.h"
#include "ZoneSum.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <string>

namespace buckthornwing {

/// \brief Newest sums of loads that members of other zones reported.
///
/// A member of another zone is heard so rarely that adding up single reports
/// misses most of its zone's load. Sums of several zones may be added up,
/// because each counts the instances of its own zone only.
class ZoneSums
{
public:
  using Targets = boost::unordered_flat_map<ShortTargetKey, ZoneSum>;
  using Zones = boost::unordered_flat_map<std::string, Targets>;

  /// \brief Stores the sum in a report, if it has one.
  /// \param zone zone of the sender
  void record(const std::string& zone,
              const TargetReport& report,
              MilliTime now);

  /// \brief Removes sums that are too old to be used.
  void expire(MilliTime now);

  /// \returns whether there is a sum of a zone's load at a target.
  bool contains(const std::string& zone, ShortTargetKey target) const;

  const Zones& all() const { return this->zones; }

private:
  Zones zones;
};

}

#endif
