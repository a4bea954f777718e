#ifndef BUCKTHORNWING_LOOKUP_TABLE_H
#define BUCKTHORNWING_LOOKUP_TABLE_H

#include "../Core/FlowKey.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief Index of a bucket in a service's lookup table.
using BucketIndex = std::uint32_t;

/// \brief Entry of each bucket in a lookup table that has no targets.
inline constexpr std::uint16_t kNoTarget = 0xffff;

/// \returns the number of buckets of a lookup table for a number of targets.
///
/// It is a prime with about a hundred buckets per target or more, and the same
/// on every instance.
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
/// The result depends on the arguments alone, so instances with the same
/// configuration revision build equal tables without exchanging messages. If
/// one target is added or removed, few buckets of the other targets change.
///
/// \param targetIds the ids of the serving targets
/// \param bucketCount a prime, see bucketCountFor()
/// \param seed seed of the hash; must be the same on every instance
/// \returns for each bucket the position of its target in \a targetIds;
/// kNoTarget in every bucket if there are no targets
std::vector<std::uint16_t>
buildLookupTable(std::span<const std::string_view> targetIds,
                 BucketIndex bucketCount,
                 std::uint64_t seed);

}

#endif
