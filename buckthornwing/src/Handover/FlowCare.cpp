#include "FlowCare.h"

#include <bit>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kWalkPeriod{ 1000 };
/// \brief Idle times after which a flow is forgotten, in seconds.
constexpr std::uint32_t kTcpIdleSeconds = 900;
constexpr std::uint32_t kUdpIdleSeconds = 120;
/// \brief A hint whose flow is idle may outlive the flow only briefly.
constexpr std::uint32_t kHintIdleSeconds = 60;
/// \brief An instance that others told of an away flow keeps it longer than
/// its owner, who withdraws it.
constexpr std::uint32_t kAwayIdleSeconds = 1800;
/// \brief A closed flow's key is remembered longer than any hint of it.
constexpr std::uint32_t kClosedSeconds = 120;
/// \brief A backup is sent anew when the flow's age has doubled, and at least
/// this often; one that is not is forgotten.
constexpr std::uint32_t kFirstRefreshSeconds = 30;
constexpr std::uint32_t kMostRefreshSeconds = 120;
/// \brief Flows of this age get a copy in one more zone.
constexpr std::uint32_t kSecondCopyAfterSeconds = 10;
/// \brief A flow of which others were told shows itself to its owner.
constexpr std::uint32_t kOwnerHearsEverySeconds = 60;
/// \brief Relayed packets of a flow, through one owner, that earn a hint.
constexpr std::uint8_t kRelayedForHint = 4;
/// \brief A slot held for so long has seen each of its open flows.
constexpr MilliDuration kKnowsAllAfter{ 900000 };

/// \returns how many refreshes a backup has had at an age.
std::uint32_t
refreshesAt(std::uint32_t age)
{
  if (age < kMostRefreshSeconds) {
    return static_cast<std::uint32_t>(
      std::bit_width(age / kFirstRefreshSeconds));
  }
  constexpr std::uint32_t kBefore = 3;
  return kBefore + age / kMostRefreshSeconds;
}

}

FlowCare::FlowCare(Blackboard& board, RecordSender& sender)
  : board(board)
  , sender(sender)
{
}

bool
FlowCare::expired(const FlowEntry& entry, std::uint32_t second) const
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
    return idle >
           internal::kMostRefreshSeconds + internal::kFirstRefreshSeconds;
  }
  return idle > internal::kHintIdleSeconds;
}

void
FlowCare::noteSeen(FlowEntry& entry, MilliTime now) const
{
  // A backup's time is that of its last refresh, not of a stray packet.
  constexpr std::uint16_t kFirstHand =
    entry_flag::kOwned | entry_flag::kAway | entry_flag::kHint;
  if ((entry.flags & kFirstHand) != 0) {
    entry.seenSecond = static_cast<std::uint32_t>(now.ms / 1000);
    entry.flags &= static_cast<std::uint16_t>(~entry_flag::kUnconfirmed);
  }
}

bool
FlowCare::ownerShouldHear(FlowEntry& entry, MilliTime now) const
{
  // An entry that others sent has no use for its placement time.
  const auto second = static_cast<std::uint32_t>(now.ms / 1000);
  const bool told =
    !entry.has(entry_flag::kOwned) &&
    (entry.flags & (entry_flag::kAway | entry_flag::kHint)) != 0;
  if (!told ||
      second < entry.placedSecond + internal::kOwnerHearsEverySeconds) {
    return false;
  }
  entry.placedSecond = second;
  return true;
}

bool
FlowCare::backupIsDue(const FlowEntry& entry, std::uint32_t second) const
{
  const std::uint32_t age =
    second > entry.placedSecond ? second - entry.placedSecond : 0;
  const std::uint32_t passed = second - this->walkedSecond;
  const std::uint32_t before = age > passed ? age - passed : 0;
  return internal::refreshesAt(age) != internal::refreshesAt(before);
}

void
FlowCare::count(const FlowEntry& entry, const Slot& slot)
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

/// \returns the owner that is told of a flow: one in its target's zone, which
/// then serves the flow also when that zone is cut off.
MemberIndex
FlowCare::backupHolder(const FlowEntry& entry, const Slot& slot) const
{
  const std::string& zone = this->board.targets[entry.target].config.zone;
  const MemberIndex third = slot.owners.third;
  const bool thirdIsNear = third != kNoMember && third != kSelf &&
                           this->board.members[third].zone == zone;
  return thirdIsNear ? third : slot.owners.second;
}

void
FlowCare::backUp(FlowId flow,
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
  const bool old =
    second >= entry.placedSecond + internal::kSecondCopyAfterSeconds;
  if (old && !entry.has(entry_flag::kBackedUpTwice)) {
    const SlotOwners& owners = slot.owners;
    entry.flags |= entry_flag::kBackedUpTwice;
    this->sender.enqueue(holder == owners.second ? owners.third : owners.second,
                         BatchPurpose::backup,
                         flow);
  }
}

void
FlowCare::checkKnowledge(MilliTime now)
{
  for (Slot& slot : this->board.slots) {
    if (slot.acting() && now - slot.heldSince >= internal::kKnowsAllAfter) {
      slot.knowsAll = true;
    }
  }
}

void
FlowCare::tick(MilliTime now)
{
  if (now < this->nextWalkAt) {
    return;
  }
  this->nextWalkAt = now + internal::kWalkPeriod;
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
  this->walkedSecond = second;
  this->checkKnowledge(now);
}

void
FlowCare::noteRelayed(FlowId flow, FlowEntry& entry, MemberIndex relayer)
{
  const bool wanted = this->board.settings.policy.hints &&
                      entry.has(entry_flag::kOwned) &&
                      !entry.has(entry_flag::kClosed) && relayer != kNoMember;
  if (!wanted) {
    return;
  }
  if (++entry.relayedPackets < internal::kRelayedForHint) {
    return;
  }
  entry.relayedPackets = 0;
  entry.flags |= entry_flag::kHinted;
  this->sender.enqueue(relayer, BatchPurpose::hint, flow);
}

void
FlowCare::noteOwned(FlowId flow, ServiceIndex service)
{
  const Slot& slot = this->board.slots[this->board.slotOfFlow(flow, service)];
  if (slot.lending) {
    this->sender.enqueue(slot.owners.primary, BatchPurpose::handover, flow);
  }
}

void
FlowCare::noteClosed(FlowId flow, FlowEntry& entry, MilliTime now)
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
