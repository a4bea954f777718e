#ifndef BUCKTHORNWING_TARGET_H
#define BUCKTHORNWING_TARGET_H

#include "../Config/Configuration.h"
#include "../Core/MilliTime.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Position of a target on one instance's blackboard. A position is
/// never given to another target id while the process runs.
using TargetIndex = std::uint16_t;

/// \brief Stands where there is no target.
inline constexpr TargetIndex kNoTargetIndex = 0xffff;

/// \brief A backend server's own account of itself.
struct LoadReport
{
  bool reachable = false; ///< the status endpoint answered
  bool healthy = false;
  bool shedding = false;
  std::uint32_t connections = 0;
  std::uint32_t busySlots = 0;
  std::uint32_t queued = 0;
};

/// \brief A backend server as this instance sees it.
struct Target
{
  TargetConfig config;
  std::uint32_t tag = 0;
  bool published = false;   ///< stands in the adopted configuration
  MilliTime servingSince{}; ///< for the slow start
  LoadReport report;
  MilliTime reportedAt{ -1 };
  unsigned failedReports = 0;     ///< unhealthy or unreachable ones in a row
  std::uint32_t ownFlows = 0;     ///< open flows that this instance owns
  std::uint32_t peerFlows = 0;    ///< open flows that peers said they own
  std::uint32_t placedByLoad = 0; ///< own choices since the last summary
  std::uint32_t ownFlowsAtSummary = 0;

  bool serving() const
  {
    return this->published && this->config.state == TargetState::serving;
  }
};

}

#endif
