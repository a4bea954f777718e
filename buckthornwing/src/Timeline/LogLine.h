#ifndef BUCKTHORNWING_TIMELINE_LOG_LINE_H
#define BUCKTHORNWING_TIMELINE_LOG_LINE_H

#include "../Core/MilliTime.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthornwing {

/// \brief What a log line tells, as far as a timeline counts it.
enum class LineKind : std::uint8_t
{
  other,
  start,
  opening, ///< a new flow was placed
  reset,
  held,
  memberJoined,
  memberLost,
  membersChanged,
  storeLost,
  storeRegained,
  targetSuspected,
  targetTrusted,
  targetDead,
  targetProbed,
  traffic,
  paused,
};

/// \brief A log line of an instance; fields that it lacks stay empty.
struct LogLine
{
  MilliTime time{}; ///< wall clock
  std::string_view instance;
  LineKind kind = LineKind::other;
  std::string_view reason;
  std::string_view subject;
  std::string_view note;
  std::string_view target;
  std::string_view flow;
  std::optional<MilliDuration> targetsAge;
  std::optional<MilliDuration> routesAge;
  MilliDuration backlog{};
  MilliDuration tickGap{};
};

}

#endif
