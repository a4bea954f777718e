#ifndef BUCKTHORNWING_TAG_EVENT_H
#define BUCKTHORNWING_TAG_EVENT_H

#include "../Core/FlowKey.h"
#include "SteeringDecision.h"

#include <string>

namespace buckthornwing {

/// \brief Kinds of changes of what an instance believes.
enum class TagEventKind : std::uint8_t
{
  targetListed,
  targetDraining,
  targetLapsed,
  targetGone,
  targetSuspected, ///< silent: no new flows
  targetTrusted,   ///< answers again
  targetDead,      ///< confirmed by a probe
  targetProbed,    ///< with what the probe found, and in which time
  routes,          ///< a configuration came into force
  registryLoaded,
  memberJoined,
  memberLost,
  membersChanged, ///< many at once, of the zone that is the subject
  storeLost,
  storeRegained,
  viewServed,  ///< a member begins to fetch a large update from here
  viewFetched, ///< a large update came from a member
  storeRead,   ///< a large answer of the store came in
  paused,      ///< the process did not run for a while
};

/// \returns a stable lower-case name for the log.
const char*
tagEventName(TagEventKind kind);

/// \brief A change of belief to log; fields that do not apply stay empty.
struct TagEvent
{
  TagEventKind kind = TagEventKind::targetListed;
  std::string subject; ///< the id of a target or member, or a zone
  std::uint64_t revision = 0;
  std::int64_t milliseconds = 0; ///< an age or a span, by kind
  std::string note;
};

}

#endif
