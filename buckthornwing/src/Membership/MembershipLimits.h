#ifndef BUCKTHORNWING_MEMBERSHIP_LIMITS_H
#define BUCKTHORNWING_MEMBERSHIP_LIMITS_H

#include "../Core/MilliTime.h"

#include <cstddef>

namespace buckthornwing::internal {

/// \brief A ping unanswered for so long makes its member suspect.
inline constexpr MilliDuration kSuspectAfter{ 600 };
/// \brief Instances that are told of a change directly; others by probes.
inline constexpr std::size_t kMostDirectAnnouncements = 64;

}

#endif
