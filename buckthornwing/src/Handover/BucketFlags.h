#ifndef BUCKTHORNWING_BUCKET_FLAGS_H
#define BUCKTHORNWING_BUCKET_FLAGS_H

#include "../Board/Blackboard.h"

#include <cstdint>

namespace buckthornwing::internal {

/// \brief Flags of a bucket that is not settled: packets of its unknown flows
/// are relayed to their owner.
inline constexpr std::uint8_t kUnsettled =
  bucket_flag::kPending | bucket_flag::kMovedByRevision |
  bucket_flag::kDiverted | bucket_flag::kUnverified;

/// \brief Interval at which peers are told again of a new diversion.
inline constexpr MilliDuration kVersionRepeatPeriod{ 300 };
/// \brief Interval at which buckets are checked for settling, and at which the
/// owners of unverified buckets are looked up.
inline constexpr MilliDuration kSettlePeriod{ 1000 };

inline void
clearFlags(std::uint8_t& flags, std::uint8_t mask)
{
  flags &= static_cast<std::uint8_t>(~mask);
}

}

#endif
