#ifndef BUCKTHORNWING_LOOKUP_TABLE_H
#define BUCKTHORNWING_LOOKUP_TABLE_H

#include "../Core/FlowKey.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief A bucket of a service's lookup table.
using BucketIndex = std::uint32_t;

/// \brief Entry of a lookup table without targets.
inline constexpr std::uint16_t kNoTarget = 0xffff;

/// \returns the bucket count for a number of targets: a prime of about a
/// hundred buckets a target or more, the same on every instance.
BucketIndex
bucketCountFor(std::size_t targetCount);

/// \returns the bucket of a flow.
inline BucketIndex
bucketOf(FlowId flow, BucketIndex bucketCount)
{
  return static_cast<BucketIndex>(flow.bits % bucketCount);
}

/// \brief Builds a Maglev lookup table.
///
/// A deterministic function of its arguments, so that instances at one
/// revision agree without a message, and a change of one target moves few
/// other buckets.
///
/// \param targetIds the serving targets' ids
/// \returns for each bucket a position in \a targetIds, or kNoTarget
std::vector<std::uint16_t>
buildLookupTable(std::span<const std::string_view> targetIds,
                 BucketIndex bucketCount,
                 std::uint64_t seed);

}

#endif
