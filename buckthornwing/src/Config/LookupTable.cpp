#include "LookupTable.h"

#include "../Core/Assert.h"

namespace buckthornwing {
namespace internal {

/// \brief A target's permutation of the buckets, walked step by step.
struct Permutation
{
  std::uint64_t next = 0;
  std::uint64_t skip = 1;
};

Permutation
startPermutation(std::string_view id, BucketIndex count, std::uint64_t seed)
{
  const std::uint64_t first = hashText(id, seed);
  const std::uint64_t second = mixWords(first, seed);
  return Permutation{ first % count, second % (count - 1) + 1 };
}

/// \brief Takes the permutation's next free bucket for \a owner.
void
claimBucket(Permutation& permutation,
            std::uint16_t owner,
            std::vector<std::uint16_t>& table)
{
  while (table[permutation.next] != kNoTarget) {
    permutation.next = (permutation.next + permutation.skip) % table.size();
  }
  table[permutation.next] = owner;
}

}

BucketIndex
bucketCountFor(std::size_t targetCount)
{
  constexpr BucketIndex kSmall = 4099;
  constexpr BucketIndex kLarge = 65537;
  constexpr std::size_t kSmallServes = 40;
  return targetCount <= kSmallServes ? kSmall : kLarge;
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
    permutations.push_back(internal::startPermutation(id, bucketCount, seed));
  }
  for (std::size_t filled = 0; filled < bucketCount; ++filled) {
    const std::size_t turn = filled % targetIds.size();
    internal::claimBucket(
      permutations[turn], static_cast<std::uint16_t>(turn), table);
  }
  return table;
}

}
