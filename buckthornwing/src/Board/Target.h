#ifndef BUCKTHORNWING_TARGET_H
#define BUCKTHORNWING_TARGET_H

#include "../Config/Configuration.h"
#include "../Core/MilliTime.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Index of a target on one instance's blackboard. An index is never
/// reused for another target id while the process runs.
using TargetIndex = std::uint16_t;

inline constexpr TargetIndex kNoTargetIndex = 0xffff;

/// \brief Report of a backend server's status endpoint.
struct LoadReport
{
  bool reachable = false; ///< the status endpoint answered
  bool healthy = false;
  bool shedding = false; ///< the server sheds load
  std::uint32_t connections = 0;
  std::uint32_t busySlots = 0;
  std::uint32_t queued = 0;
};

/// \brief State of a backend server, as known to this instance.
struct Target
{
  TargetConfig config;
  std::uint32_t tag = 0;
  bool published = false;   ///< is in the adopted configuration
  MilliTime servingSince{}; ///< start of the slow start
  LoadReport report;
  MilliTime reportedAt{ -1 };  ///< time of the report; negative if none
  unsigned failedReports = 0;  ///< consecutive unhealthy or unreachable reports
  std::uint32_t ownFlows = 0;  ///< open flows that this instance owns
  std::uint32_t peerFlows = 0; ///< estimated open flows of peers
  /// Flows that this instance placed on the target by load since its last
  /// summary.
  std::uint32_t placedByLoadSinceSummary = 0;
  std::uint32_t ownFlowsAtSummary = 0; ///< in the last summary sent

  bool serving() const
  {
    return this->published && this->config.state == TargetState::serving;
  }
};

}

#endif
