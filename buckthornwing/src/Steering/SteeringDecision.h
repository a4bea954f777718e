#ifndef BUCKTHORNWING_STEERING_DECISION_H
#define BUCKTHORNWING_STEERING_DECISION_H

#include "../Tagging/FlowTag.h"
#include "../View/Route.h"
#include "../View/TargetRegistry.h"

namespace buckthornwing {

/// \brief What is done with a packet of a caller.
enum class SteeringOutcome : std::uint8_t
{
  forward,
  reset, ///< the caller is sent a reset, so that it can open another flow
  hold,  ///< kept for a limited time and decided again when the view changes
  drop,  ///< discarded; the caller retransmits it
};

inline constexpr std::size_t kSteeringOutcomeCount = 4;

/// \brief Reason for a SteeringOutcome.
enum class SteeringReason : std::uint8_t
{
  placed,       ///< a new flow was given a target
  openingCopy,  ///< a copy of an opening goes to the target of the first one
  tagged,       ///< the tag identifies the target
  noView,       ///< routes or targets are not loaded yet
  noRoute,      ///< no route has the packet's destination
  noTarget,     ///< no target of the route's services takes new flows
  noTag,        ///< a packet of an open flow has no tag
  unknownTag,   ///< the tag is of an unknown target or of another flow
  targetGone,   ///< the target is dead and has left the registry
  targetSilent, ///< the target is dead but has not left the registry
  strayOpening, ///< an opening with a tag or payload
  evacuated,    ///< all targets that could take the flow are in evacuated zones
  overloaded,   ///< the service has no room for requests of this priority
  warmingUp,    ///< all targets that could take the flow are cold and at their
                ///< limit
};

inline constexpr std::size_t kSteeringReasonCount = 14;

/// \returns the stable lower-case name of a value in logs and metrics.
const char*
steeringOutcomeName(SteeringOutcome outcome);

/// \returns the stable lower-case name of a value in logs and metrics.
const char*
steeringReasonName(SteeringReason reason);

/// \brief Decision about a packet.
struct SteeringDecision
{
  SteeringOutcome outcome = SteeringOutcome::drop;
  SteeringReason reason = SteeringReason::noView;
  TargetSlot target = kNoTargetSlot;
  FlowTag tag;                  ///< written into a forwarded opening
  const Route* route = nullptr; ///< null if unknown; valid until routes change
};

}

#endif
