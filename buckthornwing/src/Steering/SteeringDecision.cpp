#include "SteeringDecision.h"

namespace buckthornwing {

const char*
steeringOutcomeName(SteeringOutcome outcome)
{
  switch (outcome) {
    case SteeringOutcome::forward:
      return "forward";
    case SteeringOutcome::reset:
      return "reset";
    case SteeringOutcome::hold:
      return "hold";
    case SteeringOutcome::drop:
      return "drop";
  }
  return "unknown";
}

const char*
steeringReasonName(SteeringReason reason)
{
  switch (reason) {
    case SteeringReason::placed:
      return "placed";
    case SteeringReason::openingCopy:
      return "opening_copy";
    case SteeringReason::tagged:
      return "tagged";
    case SteeringReason::noView:
      return "no_view";
    case SteeringReason::noRoute:
      return "no_route";
    case SteeringReason::noTarget:
      return "no_target";
    case SteeringReason::noTag:
      return "no_tag";
    case SteeringReason::unknownTag:
      return "unknown_tag";
    case SteeringReason::targetGone:
      return "target_gone";
    case SteeringReason::targetSilent:
      return "target_silent";
    case SteeringReason::strayOpening:
      return "stray_opening";
    case SteeringReason::evacuated:
      return "evacuated";
    case SteeringReason::overloaded:
      return "overloaded";
    case SteeringReason::warmingUp:
      return "warming_up";
  }
  return "unknown";
}

}
