#ifndef BUCKTHORNWING_TARGET_EVENT_H
#define BUCKTHORNWING_TARGET_EVENT_H

#include "../Core/MilliTime.h"
#include "NameTable.h"

#include <deque>

namespace buckthornwing {

/// \brief Kind of an event that an instance logged about a target.
enum class TargetEventKind : std::uint8_t
{
  suspected,
  trusted,
  dead,
  probedAlive, ///< it responded to a probe
  reset,       ///< a flow to it was reset because it is silent
};

/// \brief An event that one instance logged about one target.
struct TargetEvent
{
  MilliTime time{}; ///< wall clock
  NameIndex target = 0;
  NameIndex instance = 0;
  NameIndex detail = 0; ///< flow of a reset, otherwise the log line's note
  TargetEventKind kind = TargetEventKind::suspected;
};

/// \brief List of many events. A deque grows without a temporary second copy of
/// its elements in memory.
using TargetEventList = std::deque<TargetEvent>;

}

#endif
