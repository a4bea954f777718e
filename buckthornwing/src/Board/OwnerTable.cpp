#include "OwnerTable.h"

namespace buckthornwing {
namespace internal {

/// \brief A member that may own slots, with its rendezvous score for one slot.
struct Candidate
{
  MemberIndex member = kNoMember;
  std::uint64_t hash = 0;
  std::uint64_t score = 0;
};

/// \returns the candidate with the highest score that is none of the given
/// members and, unless allowed, in none of their zones; or kNoMember.
/// \param zonesOf the members that are already owners
MemberIndex
bestOutside(std::span<const Candidate> candidates,
            std::span<const Member> members,
            std::span<const MemberIndex> zonesOf,
            bool sameZoneAllowed)
{
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    bool allowed = true;
    for (const MemberIndex taken : zonesOf) {
      if (taken == kNoMember) {
        continue;
      }
      const bool sameZone =
        members[taken].zone == members[candidate.member].zone;
      allowed =
        allowed && taken != candidate.member && (sameZoneAllowed || !sameZone);
    }
    if (allowed && (best == nullptr || candidate.score > best->score)) {
      best = &candidate;
    }
  }
  return best == nullptr ? kNoMember : best->member;
}

/// \returns the best candidate outside the zones of the taken members, or else
/// the best one that is not taken.
MemberIndex
pickNext(std::span<const Candidate> candidates,
         std::span<const Member> members,
         std::span<const MemberIndex> taken)
{
  const MemberIndex other = bestOutside(candidates, members, taken, false);
  return other != kNoMember ? other
                            : bestOutside(candidates, members, taken, true);
}

}

std::vector<SlotOwners>
computeOwners(std::span<const Member> members)
{
  std::vector<internal::Candidate> candidates;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].owner()) {
      candidates.push_back(
        { static_cast<MemberIndex>(i), hashText(members[i].id, 3), 0 });
    }
  }
  std::vector<SlotOwners> owners(kSlotCount);
  for (SlotIndex slot = 0; slot < kSlotCount; ++slot) {
    for (internal::Candidate& candidate : candidates) {
      candidate.score = mixWords(candidate.hash, slot);
    }
    SlotOwners& entry = owners[slot];
    entry.primary = internal::pickNext(candidates, members, {});
    const std::array first{ entry.primary };
    entry.second = internal::pickNext(candidates, members, first);
    const std::array both{ entry.primary, entry.second };
    entry.third = internal::pickNext(candidates, members, both);
  }
  return owners;
}

}
