#ifndef BUCKTHORNWING_BUCKET_FLAGS_H
#define BUCKTHORNWING_BUCKET_FLAGS_H

#include "../Board/Blackboard.h"

#include <cstdint>

namespace buckthornwing::internal {

/// \brief Flags of a bucket whose flows must ask their owner.
inline constexpr std::uint8_t kMovedAnyhow =
  bucket_flag::kPending | bucket_flag::kMoved | bucket_flag::kDiverted |
  bucket_flag::kUnvouched;

/// \brief A new diversion is shown to peers again this often.
inline constexpr MilliDuration kNoticePeriod{ 300 };
inline constexpr MilliDuration kSettlePeriod{ 1000 };

inline void
clearFlags(std::uint8_t& flags, std::uint8_t mask)
{
  flags &= static_cast<std::uint8_t>(~mask);
}

}

#endif
