#ifndef BUCKTHORNWING_TIMELINE_LOG_LINE_H
#define BUCKTHORNWING_TIMELINE_LOG_LINE_H

#include "../Core/MilliTime.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthornwing {

/// \brief Kind of a log line, as far as a timeline distinguishes it.
enum class LineKind : std::uint8_t
{
  other, ///< has no count of its own
  start,
  flowPlaced, ///< a new flow was assigned to a target
  reset,      ///< a flow was reset
  held,       ///< a packet was held back until the view changes
  memberJoined,
  memberLost,
  membersChanged,
  storeLost,
  storeRegained,
  targetSuspected,
  targetTrusted,
  targetDead,
  targetProbed,
  traffic, ///< link load and longest time between two ticks
  paused,  ///< event "paused": the process did not run; counted as a stall
};

/// \brief A parsed log line of an instance. Fields that are missing in the line
/// are empty or zero.
struct LogLine
{
  MilliTime time{}; ///< wall clock
  std::string_view instance;
  LineKind kind = LineKind::other;
  std::string_view reason;
  std::string_view subject; ///< id of a target or member, or a zone
  std::string_view note;
  std::string_view target;
  std::string_view flow;
  std::optional<MilliDuration> targetsAge; ///< of the view of the targets
  std::optional<MilliDuration> routesAge;  ///< of the view of the routes
  MilliDuration backlog{}; ///< maximum queueing delay of the link
  MilliDuration tickGap{}; ///< longest time between two ticks
};

}

#endif
