#ifndef BUCKTHORNWING_VIEW_WIRE_H
#define BUCKTHORNWING_VIEW_WIRE_H

#include "FleetMessage.h"
#include "generated/fleet_types.h"

#include <algorithm>
#include <limits>

namespace buckthornwing::internal {

/// \returns a duration in ms for a message, clamped to 0 and the maximum of 32
/// bits.
inline std::int32_t
toWireMs(MilliDuration span)
{
  constexpr std::int64_t kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(span.ms, 0, kMost));
}

fleetwire::ViewVersions
toWire(const ViewVersions& view);

ViewVersions
fromWire(const fleetwire::ViewVersions& in);

}

#endif
