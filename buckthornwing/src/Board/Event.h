#ifndef BUCKTHORNWING_EVENT_H
#define BUCKTHORNWING_EVENT_H

#include "../Core/FlowKey.h"
#include "Decision.h"
#include "Service.h"

#include <cstdint>
#include <string>

namespace buckthornwing {

/// \brief Kinds of decisions and changes that are logged.
enum class EventKind : std::uint8_t
{
  placement,            ///< a new flow got a target
  refusal,              ///< a new flow was refused
  drop,                 ///< a packet was dropped
  member,               ///< an instance changed its liveness or phase
  owners,               ///< the owner table changed
  configuration,        ///< a revision was adopted
  configurationProblem, ///< an error or warning in a configuration
  committed,            ///< every reachable instance has the adopted revision
  diversion,            ///< a target's diversion started or ended
  settled,              ///< flagged buckets follow the table again
  lifecycle,            ///< this instance changed its phase or was paused
  transfer,             ///< slots were handed over to another instance
};

/// \returns a stable lower-case name for the log.
std::string_view
eventName(EventKind kind);

/// \brief An event to be logged; fields that do not apply keep their defaults.
struct Event
{
  EventKind kind = EventKind::drop;
  FlowKey flow;
  ServiceIndex service = kNoServiceIndex;
  TargetIndex target = kNoTargetIndex;
  MemberIndex member = kNoMember;
  Reason reason = Reason::none;
  std::uint64_t count = 0;
  std::string note;
};

}

#endif
