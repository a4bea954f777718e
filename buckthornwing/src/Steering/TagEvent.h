#ifndef BUCKTHORNWING_TAG_EVENT_H
#define BUCKTHORNWING_TAG_EVENT_H

#include "../Core/FlowKey.h"
#include "SteeringDecision.h"

#include <string>

namespace buckthornwing {

/// \brief Kinds of events that an instance logs.
enum class TagEventKind : std::uint8_t
{
  targetListed,
  targetDraining,
  targetLapsed,
  targetGone,
  targetSuspected, ///< seems not to answer; new flows avoid it
  targetTrusted,   ///< answers again
  targetDead,      ///< probes of it failed
  targetProbed,    ///< a probe ended, with its result and duration
  routes,          ///< new routes were applied
  registryLoaded,
  memberJoined,
  memberLost,
  membersChanged, ///< many members of a zone, which is the subject, at once
  storeLost,
  storeRegained,
  storeEra, ///< the store has come back from an older copy of its data
  storeAnswerOutdated, ///< an answer of an earlier era of the store
  viewServed,          ///< a member started to fetch a large update from here
  viewFetched,         ///< a large update was fetched from a member
  storeRead,           ///< a large answer of the store was received
  paused,              ///< the process did not run for a while
  zoneEvacuated,       ///< the zone, which is the subject, takes no new flows
  zoneReturned,        ///< the zone takes new flows again
  entryIgnored,        ///< an entry of the operator is not understood
  overloadBegan,       ///< a service begins to refuse openings of a priority
  overloadEnded,       ///< it refuses none of them any more
  targetSpeed,    ///< a target became slower or faster than is typical of its
                  ///< service, or typical again
  slowStartBegan, ///< new flows to a cold target are limited
  slowStartEnded, ///< the target is warm
};

/// \returns the stable lower-case name of an event kind in the log.
const char*
tagEventName(TagEventKind kind);

/// \brief An event to log. Fields that do not apply to its kind are empty or 0.
struct TagEvent
{
  TagEventKind kind = TagEventKind::targetListed;
  std::string subject;           ///< id of a target or member, or a zone
  std::uint64_t revision = 0;    ///< of the target, routes or registry
  std::int64_t milliseconds = 0; ///< an age or duration, depending on the kind
  std::string note;              ///< cause or further detail
};

}

#endif
