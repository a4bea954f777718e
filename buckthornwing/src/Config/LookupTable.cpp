#include "LookupTable.h"

#include "../Core/Assert.h"

namespace buckthornwing {
namespace internal {

/// \brief A target's permutation of the buckets, as in the Maglev algorithm.
struct Permutation
{
  std::uint64_t next = 0; ///< bucket to be tried next
  std::uint64_t skip = 1; ///< step to the bucket after it, modulo the count
};

Permutation
makePermutation(std::string_view id, BucketIndex count, std::uint64_t seed)
{
  const std::uint64_t first = hashText(id, seed);
  const std::uint64_t second = mixWords(first, seed);
  return Permutation{ first % count, second % (count - 1) + 1 };
}

/// \brief Assigns the first free bucket of the permutation to a target.
/// \param targetPosition the target's position in the list of targets
void
assignNextBucket(Permutation& permutation,
                 std::uint16_t targetPosition,
                 std::vector<std::uint16_t>& table)
{
  while (table[permutation.next] != kNoTarget) {
    permutation.next = (permutation.next + permutation.skip) % table.size();
  }
  table[permutation.next] = targetPosition;
}

}

BucketIndex
bucketCountFor(std::size_t targetCount)
{
  constexpr BucketIndex kSmallTableBuckets = 4099;
  constexpr BucketIndex kLargeTableBuckets = 65537;
  constexpr std::size_t kMaxSmallTableTargets = 40;
  return targetCount <= kMaxSmallTableTargets ? kSmallTableBuckets
                                              : kLargeTableBuckets;
}

std::vector<std::uint16_t>
buildLookupTable(std::span<const std::string_view> targetIds,
                 BucketIndex bucketCount,
                 std::uint64_t seed)
{
  BUCKTHORNWING_REQUIRE(bucketCount > 1);
  BUCKTHORNWING_REQUIRE(targetIds.size() < kNoTarget);
  std::vector<std::uint16_t> table(bucketCount, kNoTarget);
  if (targetIds.empty()) {
    return table;
  }
  std::vector<internal::Permutation> permutations;
  for (const std::string_view id : targetIds) {
    permutations.push_back(internal::makePermutation(id, bucketCount, seed));
  }
  for (std::size_t filled = 0; filled < bucketCount; ++filled) {
    const std::size_t targetPosition = filled % targetIds.size();
    internal::assignNextBucket(permutations[targetPosition],
                               static_cast<std::uint16_t>(targetPosition),
                               table);
  }
  return table;
}

}
