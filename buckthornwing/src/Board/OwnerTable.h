#ifndef BUCKTHORNWING_OWNER_TABLE_H
#define BUCKTHORNWING_OWNER_TABLE_H

#include "../Config/LookupTable.h"
#include "Member.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief Index of a slot: a set of buckets that have the same owners.
using SlotIndex = std::uint16_t;

inline constexpr SlotIndex kSlotCount = 1024;

/// \returns the slot of a bucket; buckets of all services share the slots.
inline SlotIndex
slotOf(BucketIndex bucket)
{
  return static_cast<SlotIndex>(mixWords(bucket, 0x51) % kSlotCount);
}

/// \brief The owners of a slot, in different zones if possible. The primary
/// owner places flows; the others keep backups.
struct SlotOwners
{
  MemberIndex primary = kNoMember;
  MemberIndex second = kNoMember;
  MemberIndex third = kNoMember;

  bool operator==(const SlotOwners&) const = default;
};

/// \brief The owners of a slot, and the state of its handover at this instance.
struct Slot
{
  SlotOwners owners;
  /// The previous primary owner, which still places flows until it has handed
  /// the slot over to this instance; kNoMember otherwise.
  MemberIndex previousOwner = kNoMember;
  MilliTime waitUntil{}; ///< end of the wait for the handover
  /// This instance is handing the slot over and still places its flows,
  /// although another one is primary owner.
  bool handingOver = false;
  /// Number of the slot's records to the new primary owner that are queued or
  /// unacknowledged.
  std::uint32_t unconfirmedHandovers = 0;
  MilliTime heldSince{}; ///< start of placing flows here, if acting
  /// End of the time after a partition in which the other side may still hand
  /// flows over; negative if there is none.
  MilliTime mergeUntil{ -1 };
  /// Whether each open flow of the slot is in this instance's flow table.
  bool hasAllFlows = false;

  bool merging() const { return this->mergeUntil.ms >= 0; }

  /// \returns whether this instance places the new flows of the slot.
  bool acting() const
  {
    return this->handingOver ||
           (this->owners.primary == kSelf && this->previousOwner == kNoMember);
  }
};

/// \returns the owners of each slot, by SlotIndex. They are selected by
/// rendezvous hashing over the members for which Member::owner() holds.
std::vector<SlotOwners>
computeOwners(std::span<const Member> members);

}

#endif
