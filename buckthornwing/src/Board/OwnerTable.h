#ifndef BUCKTHORNWING_OWNER_TABLE_H
#define BUCKTHORNWING_OWNER_TABLE_H

#include "../Config/LookupTable.h"
#include "Member.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief A share of all buckets that has one owner.
using SlotIndex = std::uint16_t;

inline constexpr SlotIndex kSlotCount = 1024;

/// \returns the slot of a bucket; all services share the slots.
inline SlotIndex
slotOf(BucketIndex bucket)
{
  return static_cast<SlotIndex>(mixWords(bucket, 0x51) % kSlotCount);
}

/// \brief Instances that answer for a slot, in different zones if there are.
struct SlotOwners
{
  MemberIndex primary = kNoMember;
  MemberIndex second = kNoMember;
  MemberIndex third = kNoMember;

  bool operator==(const SlotOwners&) const = default;
};

/// \brief One slot's owners and this instance's part in it.
struct Slot
{
  SlotOwners owners;
  /// While this instance is primary: who still places, until it hands over.
  MemberIndex waitingFor = kNoMember;
  MilliTime waitUntil{};
  /// This instance still places although another is primary.
  bool lending = false;
  /// Records of its flows on their way to the new primary.
  std::uint32_t unconfirmedHandovers = 0;
  MilliTime heldSince{};
  /// After a partition: until then another side may still hand flows over.
  MilliTime mergeUntil{ -1 };
  /// Every open flow of the slot is in the flow table.
  bool hasAllFlows = false;

  bool merging() const { return this->mergeUntil.ms >= 0; }

  /// \returns whether this instance decides for the slot's new flows.
  bool acting() const
  {
    return this->lending ||
           (this->owners.primary == kSelf && this->waitingFor == kNoMember);
  }
};

/// \returns the owners of every slot by rendezvous hashing over the members
/// that are owners.
std::vector<SlotOwners>
computeOwners(std::span<const Member> members);

}

#endif
