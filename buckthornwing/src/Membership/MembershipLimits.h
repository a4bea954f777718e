#ifndef BUCKTHORNWING_MEMBERSHIP_LIMITS_H
#define BUCKTHORNWING_MEMBERSHIP_LIMITS_H

#include "../Core/MilliTime.h"

#include <cstddef>

namespace buckthornwing::internal {

/// \brief Time after which an unanswered ping makes its member suspect.
inline constexpr MilliDuration kPingTimeout{ 600 };
/// \brief Maximum number of instances that are pinged at once to announce a
/// change or to find members; the others are reached by regular probes.
inline constexpr std::size_t kMaxDirectAnnouncements = 64;

}

#endif
