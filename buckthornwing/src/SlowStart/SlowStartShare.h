#ifndef BUCKTHORNWING_SLOW_START_SHARE_H
#define BUCKTHORNWING_SLOW_START_SHARE_H

#include "ActiveMembers.h"
#include "ColdTarget.h"

#include <cstdint>

namespace buckthornwing {

/// \returns the flows a second that are shared out among the instances: half of
/// the allowance, in whole flows. The other half allows for instances that see
/// different members. An allowance below 2 leaves none: the target gets its
/// first flow when it is warm.
std::uint32_t
sharedFlows(double allowance);

/// \returns the flows a second that this instance may place on a target.
///
/// The shared flows are dealt out one by one among the active members of the
/// target's zone, or of the fleet if that zone has none, in the order of a hash
/// of target and member. The shares of all members that see the same members
/// add up to sharedFlows(). A share never grows with the number of members that
/// come before this instance, or with the number of members.
std::uint32_t
slowStartShare(const ActiveMembers& members, const ColdTarget& target);

}

#endif
