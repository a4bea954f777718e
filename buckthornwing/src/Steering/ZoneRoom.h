#ifndef BUCKTHORNWING_ZONE_ROOM_H
#define BUCKTHORNWING_ZONE_ROOM_H

#include "ApertureTarget.h"

#include <optional>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief Targets of one zone that serve a service, and their load.
struct ZoneRoom
{
  std::string_view zone;
  std::vector<ApertureTarget> targets;
  double busy = 0;     ///< requests in progress or queued at eligible targets
  double capacity = 0; ///< request slots of eligible targets

  /// \brief Adds a target, with its load if it is eligible.
  void add(const ApertureTarget& target, const TargetLoad& load);

  /// \returns the requests per slot; nothing if no target is eligible.
  std::optional<double> load() const;
};

/// \returns the room of a zone, created if it is missing.
ZoneRoom&
roomOf(std::vector<ZoneRoom>& rooms, std::string_view zone);

/// \brief Decides whether a flow is placed in another zone because its own one
/// has no room left.
///
/// The share of flows that move grows with the difference of the zones' loads,
/// so that instances that know old loads don't all move at once. The mean of a
/// zone is known better than the load of any of its targets.
/// \returns the other zone, which has room; null if the flow stays
ZoneRoom*
chooseOtherZone(const ZoneRoom& own,
                std::vector<ZoneRoom>& others,
                FlowId flow);

}

#endif
