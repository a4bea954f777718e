#include "FlowMaintenance.h"

#include <bit>

namespace buckthornwing {
namespace internal {

/// \brief Interval at which the flow table is scanned.
constexpr MilliDuration kScanPeriod{ 1000 };
/// \brief Idle time after which the owner erases a TCP flow.
constexpr std::uint32_t kTcpIdleSeconds = 900;
/// \brief Idle time after which the owner erases a UDP flow.
constexpr std::uint32_t kUdpIdleSeconds = 120;
/// \brief Idle time after which a hint is erased; short, so that a hint does
/// not outlive its flow for long.
constexpr std::uint32_t kHintIdleSeconds = 60;
/// \brief Idle time after which the record of an away flow is erased at an
/// instance that is not the owner. It is longer than the owner's idle time,
/// because the owner withdraws the record.
constexpr std::uint32_t kAwayIdleSeconds = 1800;
/// \brief Time for which a closed flow's entry is kept; longer than any hint of
/// the flow.
constexpr std::uint32_t kClosedSeconds = 120;
/// \brief Age of a flow at which its backup is first sent again. It is sent
/// again whenever the age has doubled, but at least every kMaxRefreshSeconds. A
/// backup that is not refreshed is erased.
constexpr std::uint32_t kFirstRefreshSeconds = 30;
/// \brief Maximum time between two refreshes of a backup.
constexpr std::uint32_t kMaxRefreshSeconds = 120;
/// \brief Age at which a flow gets a backup at a second owner, in another zone
/// if there is one.
constexpr std::uint32_t kSecondCopyAfterSeconds = 10;
/// \brief Interval at which an instance that forwards a flow by its owner's
/// record relays a packet of it to the owner.
constexpr std::uint32_t kOwnerRefreshSeconds = 60;
/// \brief Number of relayed packets of a flow after which the owner sends a
/// hint to the relaying instance.
constexpr std::uint8_t kRelayedPacketsForHint = 4;
/// \brief Time after which the holder of a slot has seen a packet of each open
/// flow; the idle time of a TCP flow.
constexpr MilliDuration kHasAllFlowsAfter{ 900000 };

/// \param age of the flow, in seconds
/// \returns how many refreshes of a flow's backup are due up to an age.
std::uint32_t
refreshesAt(std::uint32_t age)
{
  if (age < kMaxRefreshSeconds) {
    return static_cast<std::uint32_t>(
      std::bit_width(age / kFirstRefreshSeconds));
  }
  constexpr std::uint32_t kRefreshesBefore = 3;
  return kRefreshesBefore + age / kMaxRefreshSeconds;
}

}

FlowMaintenance::FlowMaintenance(Blackboard& board, RecordSender& sender)
  : board(board)
  , sender(sender)
{
}

bool
FlowMaintenance::expired(const FlowEntry& entry, std::uint32_t second) const
{
  const std::uint32_t idle =
    second > entry.seenSecond ? second - entry.seenSecond : 0;
  if (entry.has(entry_flag::kClosed)) {
    return idle > internal::kClosedSeconds;
  }
  const Protocol protocol = this->board.services[entry.service].config.protocol;
  const std::uint32_t limit = protocol == Protocol::tcp
                                ? internal::kTcpIdleSeconds
                                : internal::kUdpIdleSeconds;
  if (entry.has(entry_flag::kOwned)) {
    return idle > limit;
  }
  if (entry.has(entry_flag::kAway)) {
    return idle > internal::kAwayIdleSeconds;
  }
  if (entry.has(entry_flag::kBackup)) {
    return idle > internal::kMaxRefreshSeconds + internal::kFirstRefreshSeconds;
  }
  return idle > internal::kHintIdleSeconds;
}

void
FlowMaintenance::noteSeen(FlowEntry& entry, MilliTime now) const
{
  // The time of a backup is that of its last refresh, not that of a packet.
  constexpr std::uint16_t kAuthoritative =
    entry_flag::kOwned | entry_flag::kAway | entry_flag::kHint;
  if ((entry.flags & kAuthoritative) != 0) {
    entry.seenSecond = static_cast<std::uint32_t>(now.ms / 1000);
    entry.flags &= static_cast<std::uint16_t>(~entry_flag::kUnconfirmed);
  }
}

bool
FlowMaintenance::shouldRefreshOwner(FlowEntry& entry, MilliTime now) const
{
  // The placement time of a record from an owner is not used otherwise; here it
  // holds the time at which a packet was last relayed to the owner.
  const auto second = static_cast<std::uint32_t>(now.ms / 1000);
  const bool toldByOwner =
    !entry.has(entry_flag::kOwned) &&
    (entry.flags & (entry_flag::kAway | entry_flag::kHint)) != 0;
  if (!toldByOwner ||
      second < entry.placedSecond + internal::kOwnerRefreshSeconds) {
    return false;
  }
  entry.placedSecond = second;
  return true;
}

/// \returns whether a refresh became due since the last scan.
bool
FlowMaintenance::backupIsDue(const FlowEntry& entry, std::uint32_t second) const
{
  const std::uint32_t age =
    second > entry.placedSecond ? second - entry.placedSecond : 0;
  const std::uint32_t passed = second - this->lastScanSecond;
  const std::uint32_t before = age > passed ? age - passed : 0;
  return internal::refreshesAt(age) != internal::refreshesAt(before);
}

/// \brief Counts the entry as an open flow if this instance acts for its slot.
void
FlowMaintenance::count(const FlowEntry& entry, const Slot& slot)
{
  constexpr std::uint16_t kNotOpen =
    entry_flag::kClosed | entry_flag::kUnconfirmed;
  const bool counts = slot.acting() && entry.has(entry_flag::kOwned) &&
                      (entry.flags & kNotOpen) == 0;
  if (counts) {
    ++this->board.targets[entry.target].ownFlows;
    ++this->board.services[entry.service].ownFlows;
  }
}

/// \returns the owner that gets the first backup of a flow: preferably one in
/// the target's zone, which can serve the flow also if that zone is partitioned
/// from the others.
MemberIndex
FlowMaintenance::backupHolder(const FlowEntry& entry, const Slot& slot) const
{
  const std::string& zone = this->board.targets[entry.target].config.zone;
  const MemberIndex third = slot.owners.third;
  const bool thirdInTargetZone = third != kNoMember && third != kSelf &&
                                 this->board.members[third].zone == zone;
  return thirdInTargetZone ? third : slot.owners.second;
}

void
FlowMaintenance::backUp(FlowId flow,
                        FlowEntry& entry,
                        const Slot& slot,
                        std::uint32_t second)
{
  const bool wanted = this->board.settings.policy.backups && slot.acting() &&
                      entry.has(entry_flag::kOwned) &&
                      !entry.has(entry_flag::kClosed);
  if (!wanted) {
    return;
  }
  constexpr std::uint16_t kCopies =
    entry_flag::kBackedUp | entry_flag::kBackedUpTwice;
  if (this->backupIsDue(entry, second)) {
    entry.flags &= static_cast<std::uint16_t>(~kCopies);
  }
  const MemberIndex holder = this->backupHolder(entry, slot);
  if (!entry.has(entry_flag::kBackedUp)) {
    entry.flags |= entry_flag::kBackedUp;
    this->sender.enqueue(holder, BatchPurpose::backup, flow);
  }
  const bool longLived =
    second >= entry.placedSecond + internal::kSecondCopyAfterSeconds;
  if (longLived && !entry.has(entry_flag::kBackedUpTwice)) {
    const SlotOwners& owners = slot.owners;
    entry.flags |= entry_flag::kBackedUpTwice;
    this->sender.enqueue(holder == owners.second ? owners.third : owners.second,
                         BatchPurpose::backup,
                         flow);
  }
}

void
FlowMaintenance::updateHasAllFlows(MilliTime now)
{
  for (Slot& slot : this->board.slots) {
    if (slot.acting() && now - slot.heldSince >= internal::kHasAllFlowsAfter) {
      slot.hasAllFlows = true;
    }
  }
}

void
FlowMaintenance::tick(MilliTime now)
{
  if (now < this->nextScanAt) {
    return;
  }
  this->nextScanAt = now + internal::kScanPeriod;
  const auto second = static_cast<std::uint32_t>(now.ms / 1000);
  for (Target& target : this->board.targets) {
    target.ownFlows = 0;
  }
  for (Service& service : this->board.services) {
    service.ownFlows = 0;
  }
  for (auto next = this->board.flows.begin();
       next != this->board.flows.end();) {
    FlowEntry& entry = next->second;
    if (this->expired(entry, second)) {
      this->board.flows.erase(next++);
      continue;
    }
    const Service& service = this->board.services[entry.service];
    const BucketIndex bucket = bucketOf(next->first, service.bucketCount());
    const Slot& slot = this->board.slots[slotOf(bucket)];
    this->count(entry, slot);
    if (service.flags[bucket] != 0 || entry.target != service.table[bucket]) {
      this->backUp(next->first, entry, slot, second);
    }
    ++next;
  }
  this->lastScanSecond = second;
  this->updateHasAllFlows(now);
}

void
FlowMaintenance::noteRelayed(FlowId flow, FlowEntry& entry, MemberIndex relayer)
{
  const bool wanted = this->board.settings.policy.hints &&
                      entry.has(entry_flag::kOwned) &&
                      !entry.has(entry_flag::kClosed) && relayer != kNoMember;
  if (!wanted) {
    return;
  }
  if (++entry.relayedPackets < internal::kRelayedPacketsForHint) {
    return;
  }
  entry.relayedPackets = 0;
  entry.flags |= entry_flag::kHinted;
  this->sender.enqueue(relayer, BatchPurpose::hint, flow);
}

void
FlowMaintenance::noteOwned(FlowId flow, ServiceIndex service)
{
  const Slot& slot = this->board.slots[this->board.slotOfFlow(flow, service)];
  if (slot.handingOver) {
    this->sender.enqueue(slot.owners.primary, BatchPurpose::handover, flow);
  }
}

void
FlowMaintenance::noteClosed(FlowId flow, FlowEntry& entry, MilliTime now)
{
  entry.seenSecond = static_cast<std::uint32_t>(now.ms / 1000);
  if (entry.has(entry_flag::kClosed)) {
    return;
  }
  entry.flags |= entry_flag::kClosed;
  if (!entry.has(entry_flag::kOwned)) {
    return;
  }
  Target& target = this->board.targets[entry.target];
  Service& service = this->board.services[entry.service];
  target.ownFlows -= target.ownFlows > 0 ? 1 : 0;
  service.ownFlows -= service.ownFlows > 0 ? 1 : 0;
  if (!entry.has(entry_flag::kAway)) {
    return;
  }
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    if (this->board.members[i].reachable()) {
      this->sender.enqueue(i, BatchPurpose::withdraw, flow);
    }
  }
}

}
