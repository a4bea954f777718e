#include "OwnershipController.h"

#include <algorithm>
#include <map>
#include <set>

namespace buckthornwing {
namespace internal {

/// \brief Time after which a new primary owner stops waiting for the transfer
/// message of its predecessor. Also the time allowed for the handovers after a
/// partition has healed.
constexpr MilliDuration kTransferTimeout{ 8000 };

}

OwnershipController::OwnershipController(Blackboard& board,
                                         RecordSender& sender,
                                         BucketStatesController& states)
  : board(board)
  , sender(sender)
  , states(states)
{
}

void
OwnershipController::startHandover(Slot& slot)
{
  slot.handingOver = true;
}

/// \brief Sets the owners of a slot, and starts or ends its handover.
/// \returns whether the records of the slot's flows must be sent to its new
/// primary owner.
bool
OwnershipController::updateSlot(Slot& slot,
                                const SlotOwners& owners,
                                MilliTime now)
{
  const MemberIndex before = slot.owners.primary;
  const bool acting = slot.acting();
  slot.owners = owners;
  if (slot.previousOwner != kNoMember &&
      !this->board.members[slot.previousOwner].reachable()) {
    slot.previousOwner = kNoMember;
    slot.heldSince = now;
    slot.hasAllFlows = false;
  }
  if (before == owners.primary) {
    return false;
  }
  if (owners.primary == kSelf) {
    if (slot.handingOver && !this->board.trust.rejoiningAfterPause) {
      slot.handingOver = false;
      return false;
    }
    const bool handsOver =
      before != kNoMember && this->board.members[before].reachable();
    slot.previousOwner = handsOver ? before : kNoMember;
    slot.waitUntil = now + internal::kTransferTimeout;
    slot.heldSince = now;
    slot.hasAllFlows = false;
    return false;
  }
  slot.previousOwner = kNoMember;
  if (this->board.trust.rejoiningAfterPause) {
    // Another instance already places the slot's flows.
    slot.handingOver = false;
  } else if (acting) {
    this->startHandover(slot);
  }
  // A backup owner sends its records too, in case the old primary is lost.
  return true;
}

void
OwnershipController::reassign(MilliTime now)
{
  const std::vector<SlotOwners> owners = computeOwners(this->board.members);
  std::vector<bool> toSend(kSlotCount);
  std::vector<bool> gained(kSlotCount);
  std::vector<MemberIndex> predecessors(kSlotCount, kNoMember);
  std::vector<bool> unowned(kSlotCount);
  std::size_t changed = 0;
  for (SlotIndex i = 0; i < kSlotCount; ++i) {
    Slot& slot = this->board.slots[i];
    const bool wasPrimary = slot.owners.primary == kSelf;
    predecessors[i] = wasPrimary ? kNoMember : slot.owners.primary;
    changed += slot.owners.primary == owners[i].primary ? 0 : 1;
    toSend[i] = this->updateSlot(slot, owners[i], now);
    gained[i] = !wasPrimary && slot.owners.primary == kSelf;
    unowned[i] = gained[i] && predecessors[i] == kNoMember;
    predecessors[i] = gained[i] ? predecessors[i] : kNoMember;
  }
  if (changed == 0) {
    return;
  }
  ++this->board.counters.ownerChanges;
  this->flagUnsynchronized(predecessors);
  this->states.markVerified(unowned);
  this->takeOverEntries(gained);
  this->queueHandovers(toSend);
  if (this->board.trust.rejoiningAfterPause) {
    this->releaseSlots(std::vector<bool>(kSlotCount, true));
  }
  Event event;
  event.kind = EventKind::owners;
  event.count = changed;
  this->board.log(std::move(event));
}

/// \brief Flags the buckets of slots gained from an owner whose last
/// announcement has not arrived here; it may have flagged them.
/// \param predecessors the former primary owner of each gained slot, by
/// SlotIndex; kNoMember elsewhere
void
OwnershipController::flagUnsynchronized(
  const std::vector<MemberIndex>& predecessors)
{
  for (Service& service : this->board.services) {
    for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
      const MemberIndex before = predecessors[slotOf(b)];
      if (before == kNoMember) {
        continue;
      }
      const Member& member = this->board.members[before];
      if (member.statesApplied != member.statesVersion) {
        service.flags[b] |= bucket_flag::kDiverted;
        service.mayHaveFlags = true;
      }
    }
  }
}

/// \brief Makes this instance the owner of its entries in the gained slots.
/// Entries that it kept for another owner become unconfirmed.
void
OwnershipController::takeOverEntries(const std::vector<bool>& slots)
{
  constexpr std::uint16_t kCopies =
    entry_flag::kBackedUp | entry_flag::kBackedUpTwice;
  for (auto& [flow, entry] : this->board.flows) {
    if (slots[this->board.slotOfFlow(flow, entry.service)]) {
      if (!entry.has(entry_flag::kOwned)) {
        entry.flags |= entry_flag::kUnconfirmed;
      }
      entry.flags |= entry_flag::kOwned;
      entry.flags &= static_cast<std::uint16_t>(~kCopies);
    }
  }
}

/// \brief Queues the records of all flows of the slots for their new primary
/// owners.
void
OwnershipController::queueHandovers(const std::vector<bool>& slots)
{
  constexpr std::uint16_t kTransferable =
    entry_flag::kOwned | entry_flag::kBackup;
  for (const auto& [flow, entry] : this->board.flows) {
    const SlotIndex index = this->board.slotOfFlow(flow, entry.service);
    if (slots[index] && (entry.flags & kTransferable) != 0) {
      const MemberIndex primary = this->board.slots[index].owners.primary;
      const bool confirmed =
        entry.has(entry_flag::kOwned) && !entry.has(entry_flag::kUnconfirmed);
      this->sender.enqueue(primary,
                           confirmed ? BatchPurpose::handover
                                     : BatchPurpose::handoverUnconfirmed,
                           flow);
    }
  }
}

void
OwnershipController::startMerge(MilliTime now)
{
  for (Slot& slot : this->board.slots) {
    if (slot.acting()) {
      slot.mergeUntil = now + internal::kTransferTimeout;
    }
  }
}

void
OwnershipController::tick(MilliTime now)
{
  this->sendDisclaimers(now);
  std::set<MemberIndex> receivers;
  for (const Slot& slot : this->board.slots) {
    if (slot.handingOver && slot.owners.primary != kNoMember) {
      receivers.insert(slot.owners.primary);
    }
  }
  for (const MemberIndex receiver : receivers) {
    this->finishTransfersTo(receiver, now);
  }
  for (Slot& slot : this->board.slots) {
    if (slot.previousOwner != kNoMember && now >= slot.waitUntil) {
      slot.previousOwner = kNoMember;
      slot.heldSince = now;
      slot.hasAllFlows = false;
    }
    if (slot.merging() && now >= slot.mergeUntil) {
      slot.mergeUntil = MilliTime{ -1 };
      slot.hasAllFlows = false;
    }
  }
}

/// \brief Sends transfer messages, marked as incomplete, to members that wait
/// for slots which this instance never held. This happens when several
/// instances join at once.
void
OwnershipController::sendDisclaimers(MilliTime now)
{
  std::map<MemberIndex, std::vector<std::uint32_t>> slots;
  for (const auto& [member, slot] : this->board.disclaimedSlots) {
    slots[member].push_back(slot);
  }
  this->board.disclaimedSlots.clear();
  for (const auto& [member, list] : slots) {
    this->sender.sendReliably(
      member, OwnershipTransfer{ 0, false, packAscending(list) }, now);
  }
}

/// \brief Completes the handover of each slot of a new primary owner for which
/// no record is queued or unacknowledged.
void
OwnershipController::finishTransfersTo(MemberIndex member, MilliTime now)
{
  std::vector<std::uint32_t> complete;
  std::vector<std::uint32_t> partial;
  std::vector<bool> released(kSlotCount);
  for (SlotIndex i = 0; i < kSlotCount; ++i) {
    Slot& slot = this->board.slots[i];
    // While flows are placed, there is always some unacknowledged record to the
    // member, so each slot is handed over when it has none of its own.
    if (!slot.handingOver || slot.owners.primary != member ||
        slot.unconfirmedHandovers != 0) {
      continue;
    }
    (slot.hasAllFlows ? complete : partial).push_back(i);
    released[i] = true;
  }
  if (complete.empty() && partial.empty()) {
    return;
  }
  // Must precede the release: an announcement covers only the slots that this
  // instance acts for.
  this->states.sendStates(member);
  for (SlotIndex i = 0; i < kSlotCount; ++i) {
    if (released[i]) {
      this->board.slots[i].handingOver = false;
      this->board.slots[i].hasAllFlows = false;
    }
  }
  for (const bool isComplete : { true, false }) {
    const auto& slots = isComplete ? complete : partial;
    if (slots.empty()) {
      continue;
    }
    this->sender.sendReliably(
      member, OwnershipTransfer{ 0, isComplete, packAscending(slots) }, now);
    Event event;
    event.kind = EventKind::transfer;
    event.member = member;
    event.count = slots.size();
    event.note = isComplete ? "complete" : "partial";
    this->board.log(std::move(event));
  }
  this->releaseSlots(released);
}

/// \brief Turns the owned entries of released slots into backups.
void
OwnershipController::releaseSlots(const std::vector<bool>& released)
{
  for (auto& [flow, entry] : this->board.flows) {
    if (released[this->board.slotOfFlow(flow, entry.service)] &&
        entry.has(entry_flag::kOwned)) {
      entry.flags &= static_cast<std::uint16_t>(~entry_flag::kOwned);
      entry.flags |= entry_flag::kBackup;
    }
  }
}

void
OwnershipController::onTransfer(MemberIndex from,
                                const OwnershipTransfer& transfer,
                                MilliTime now)
{
  const auto slots = unpackAscending(transfer.slots);
  if (!slots) {
    return;
  }
  bool allMine = true;
  for (const std::uint32_t index : *slots) {
    if (index >= kSlotCount) {
      return;
    }
    Slot& slot = this->board.slots[index];
    if (slot.owners.primary != kSelf) {
      allMine = false;
      continue;
    }
    if (slot.previousOwner == from) {
      slot.previousOwner = kNoMember;
      slot.heldSince = now;
    }
    slot.mergeUntil = MilliTime{ -1 };
    slot.hasAllFlows = slot.hasAllFlows || transfer.complete;
  }
  // Without an acknowledgement the transfer is repeated, until this instance's
  // view shows it as the primary owner of all the slots.
  if (allMine) {
    this->sender.acknowledge(from, transfer.sequence);
  }
}

void
OwnershipController::onBatch(MemberIndex from,
                             const FlowBatch& batch,
                             MilliTime now)
{
  const auto records = unpackFlowRecords(batch.records);
  if (!records) {
    return;
  }
  const auto service = this->board.serviceByTag.find(batch.service);
  std::vector<TargetIndex> targets;
  bool allKnown = service != this->board.serviceByTag.end();
  for (const std::uint32_t tag : batch.targets) {
    const auto found = this->board.targetByTag.find(tag);
    const bool known = found != this->board.targetByTag.end();
    targets.push_back(known ? found->second : kNoTargetIndex);
    allKnown = allKnown && known;
  }
  if (!allKnown) {
    // The batch refers to a newer configuration; the sender repeats it.
    return;
  }
  for (const FlowRecord& record : *records) {
    if (record.target < targets.size()) {
      this->applyRecord(
        record, service->second, targets[record.target], batch.purpose, now);
    }
  }
  this->sender.acknowledge(from, batch.sequence);
}

void
OwnershipController::applyRecord(const FlowRecord& record,
                                 ServiceIndex service,
                                 TargetIndex target,
                                 BatchPurpose purpose,
                                 MilliTime now)
{
  const auto found = this->board.flows.find(record.flow);
  const bool known = found != this->board.flows.end();
  if (purpose == BatchPurpose::withdraw) {
    if (known && !found->second.has(entry_flag::kOwned)) {
      this->board.flows.erase(found);
    }
    return;
  }
  FlowEntry arrived;
  arrived.target = target;
  arrived.service = service;
  arrived.placedSecond = static_cast<std::uint32_t>(
    std::max<std::int64_t>(0, now.ms - record.age.ms) / 1000);
  arrived.seenSecond = static_cast<std::uint32_t>(now.ms / 1000);
  switch (purpose) {
    case BatchPurpose::handover:
      arrived.flags = entry_flag::kOwned;
      break;
    case BatchPurpose::handoverUnconfirmed:
      arrived.flags = entry_flag::kOwned | entry_flag::kUnconfirmed;
      break;
    case BatchPurpose::backup:
      arrived.flags = entry_flag::kBackup;
      break;
    case BatchPurpose::away:
      arrived.flags = entry_flag::kAway;
      break;
    case BatchPurpose::hint:
    case BatchPurpose::withdraw:
      arrived.flags = entry_flag::kHint;
      break;
  }
  if (!known) {
    this->board.flows.emplace(record.flow, arrived);
    return;
  }
  FlowEntry& entry = found->second;
  const bool owned = entry.has(entry_flag::kOwned);
  if (owned && entry.target != target) {
    // Both sides of a partition placed the flow. The older placement is kept,
    // and of two with the same age the one whose target has the lower tag.
    const auto& targets = this->board.targets;
    const bool olderHere = entry.placedSecond < arrived.placedSecond;
    const bool sameAge = entry.placedSecond == arrived.placedSecond;
    const bool lowerHere = targets[entry.target].tag < targets[target].tag;
    const bool handsOver = purpose == BatchPurpose::handover ||
                           purpose == BatchPurpose::handoverUnconfirmed;
    if (olderHere || (sameAge && lowerHere) || !handsOver) {
      return;
    }
  }
  if (purpose == BatchPurpose::handover) {
    entry.flags &= static_cast<std::uint16_t>(~entry_flag::kUnconfirmed);
  } else if (owned && purpose == BatchPurpose::handoverUnconfirmed) {
    // This instance's own entry is more reliable than an unconfirmed record.
    return;
  }
  entry.target = target;
  entry.service = service;
  entry.placedSecond = std::min(entry.placedSecond, arrived.placedSecond);
  entry.seenSecond = arrived.seenSecond;
  entry.flags |= arrived.flags;
  if (!owned) {
    entry.flags &= static_cast<std::uint16_t>(~entry_flag::kClosed);
  }
}

bool
OwnershipController::drained() const
{
  const bool handingOver = std::any_of(
    this->board.slots.begin(), this->board.slots.end(), [&](const Slot& slot) {
      return slot.handingOver && slot.owners.primary != kNoMember;
    });
  return !handingOver && this->sender.transfersDone();
}

}
