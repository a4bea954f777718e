#ifndef BUCKTHORNWING_TARGET_ELIGIBILITY_H
#define BUCKTHORNWING_TARGET_ELIGIBILITY_H

#include "TagBlackboard.h"

#include <optional>

namespace buckthornwing {

/// \returns why a target of a service must not get a new flow now; nothing if
/// it may get one. Every placement asks this; rules that exclude a target for
/// some time are added here.
std::optional<SteeringReason>
reasonAgainst(const TagBlackboard& board,
              ServiceSlot service,
              TargetSlot slot,
              MilliTime now);

/// \returns why a new flow of a service gets no target: the reason against a
/// target that takes new flows, otherwise evacuated or noTarget.
SteeringReason
reasonWithoutTarget(const TagBlackboard& board,
                    ServiceSlot service,
                    MilliTime now);

}

#endif
