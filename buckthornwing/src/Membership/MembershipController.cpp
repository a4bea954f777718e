#include "MembershipController.h"

#include "../Core/Assert.h"
#include "MembershipLimits.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time between two regular probes sent by one instance.
constexpr MilliDuration kProbePeriod{ 250 };
/// \brief Time between two announcements of an uncommitted revision to
/// instances that do not have it.
constexpr MilliDuration kRevisionAnnouncementPeriod{ 250 };

}

MembershipController::MembershipController(Blackboard& board)
  : board(board)
  , dissemination(board)
{
}

void
MembershipController::start(std::uint32_t incarnation, MilliTime now)
{
  BUCKTHORNWING_REQUIRE(this->board.members.empty());
  const EngineSettings& settings = this->board.settings;
  Member self;
  self.id = settings.id;
  self.zone = settings.zone;
  self.address = settings.peerAddress;
  self.tag = memberTag(self.id);
  self.liveness = Liveness::alive;
  self.incarnation = incarnation;
  this->board.memberByTag.emplace(self.tag, kSelf);
  this->board.members.push_back(std::move(self));
  this->board.trust.startedAt = now;
  for (const Endpoint& seed : settings.seeds) {
    this->pingEndpoint(seed);
  }
}

MemberIndex
MembershipController::addMember(const MemberUpdate& update)
{
  const MemberTag tag = memberTag(update.id);
  const MemberIndex known = this->board.findMember(tag);
  if (known != kNoMember) {
    return known;
  }
  Member member;
  member.id = update.id;
  member.zone = update.zone;
  member.address = update.address;
  member.tag = tag;
  const auto index = static_cast<MemberIndex>(this->board.members.size());
  this->board.members.push_back(std::move(member));
  this->board.memberByTag.emplace(tag, index);
  return index;
}

void
MembershipController::addListedInstances(
  std::span<const InstanceConfig> instances)
{
  for (const InstanceConfig& instance : instances) {
    MemberUpdate update;
    update.id = instance.id;
    update.zone = instance.zone;
    update.address = instance.peerAddress;
    const MemberIndex index = this->addMember(update);
    Member& member = this->board.members[index];
    if (index != kSelf && member.liveness == Liveness::unknown) {
      member.address = instance.peerAddress;
    }
  }
}

void
MembershipController::setLiveness(MemberIndex index,
                                  Liveness liveness,
                                  MilliTime now)
{
  Member& member = this->board.members[index];
  if (member.liveness == liveness) {
    return;
  }
  const bool wasReachable = member.reachable();
  member.liveness = liveness;
  if (liveness == Liveness::suspect) {
    member.suspectedAt = now;
  }
  if (liveness == Liveness::dead) {
    member.awayRecordsSent = false;
  }
  this->ownersChanged =
    this->ownersChanged || wasReachable != member.reachable();
  this->dissemination.enqueue(index);
  constexpr const char* kNames[] = { "unknown", "alive", "suspect", "dead" };
  Event event;
  event.kind = EventKind::member;
  event.member = index;
  event.note = kNames[static_cast<std::size_t>(liveness)];
  this->board.log(std::move(event));
}

MemberIndex
MembershipController::receive(const PeerMessage& message, MilliTime now)
{
  const PeerHeader& header = message.header;
  const auto* probe = std::get_if<Probe>(&message.body);
  if (probe != nullptr) {
    for (const MemberUpdate& update : probe->updates) {
      if (memberTag(update.id) == header.sender) {
        this->addMember(update);
      }
    }
  }
  const MemberIndex index = this->board.findMember(header.sender);
  if (index == kNoMember || index == kSelf) {
    return kNoMember;
  }
  Member& member = this->board.members[index];
  if (header.incarnation < member.incarnation) {
    return kNoMember;
  }
  const bool isDeclaredDead = member.liveness == Liveness::dead &&
                              header.incarnation == member.incarnation;
  if (isDeclaredDead) {
    // The member must learn that its flows have other owners before it counts
    // as reachable again. The ping carries its state, which it then refutes.
    if (probe == nullptr || probe->kind == ProbeKind::acknowledge) {
      this->sendProbe(index, ProbeKind::ping, this->nextSequence++);
    }
    const bool acceptedFromDead =
      probe != nullptr || std::holds_alternative<Relay>(message.body) ||
      std::holds_alternative<ConfigurationRequest>(message.body);
    return acceptedFromDead ? index : kNoMember;
  }
  if (header.incarnation > member.incarnation) {
    member.statesApplied = kNoStatesVersion;
    member.awayRecordsSent = false;
    member.incarnation = header.incarnation;
    member.phase = Phase::joining;
    member.statesVersion = 0;
  }
  const bool wasOwner = member.owner();
  const bool wasDead = member.liveness == Liveness::dead;
  // Datagrams can arrive out of order. These values only increase within an
  // incarnation, so a lower one is outdated.
  if (header.phase > member.phase) {
    member.phase = header.phase;
    this->dissemination.enqueue(index);
  }
  member.revision = std::max(member.revision, header.revision);
  member.statesVersion = std::max(member.statesVersion, header.statesVersion);
  member.lastHeard = now;
  this->setLiveness(index, Liveness::alive, now);
  this->ownersChanged = this->ownersChanged || wasOwner != member.owner();
  // The member was live during the partition, so its side may have placed
  // flows in the meantime.
  this->partitionHealed = this->partitionHealed || (wasDead && member.owner());
  if (!this->board.trust.paused) {
    this->board.trust.lastPeerContactAt = now;
  }
  return index;
}

void
MembershipController::applyUpdate(const MemberUpdate& update, MilliTime now)
{
  const MemberIndex index = this->addMember(update);
  if (index == kSelf) {
    this->applyUpdateAboutSelf(update, now);
    return;
  }
  Member& member = this->board.members[index];
  if (update.incarnation < member.incarnation) {
    return;
  }
  const bool newer = update.incarnation > member.incarnation;
  const bool reportsFailure =
    update.liveness == Liveness::suspect || update.liveness == Liveness::dead;
  if (newer && !reportsFailure) {
    // An update from another instance supplies only the address. The member
    // becomes reachable by a message of its own.
    member.address = update.address;
    member.zone = update.zone;
    return;
  }
  const bool applies =
    reportsFailure && member.reachable() && update.liveness > member.liveness;
  if (!applies) {
    return;
  }
  member.incarnation = update.incarnation;
  const bool recentlyHeard = now - member.lastHeard < internal::kPingTimeout;
  if (update.liveness == Liveness::dead && recentlyHeard) {
    // The member was heard recently, so it is only suspected. It receives this
    // update with a probe and can refute it.
    this->setLiveness(index, Liveness::suspect, now);
    return;
  }
  this->setLiveness(index, update.liveness, now);
}

void
MembershipController::applyUpdateAboutSelf(const MemberUpdate& update,
                                           MilliTime now)
{
  Member& self = this->board.self();
  const bool reportedFailed =
    update.liveness == Liveness::suspect || update.liveness == Liveness::dead;
  if (!reportedFailed || update.incarnation < self.incarnation) {
    return;
  }
  self.incarnation = update.incarnation + 1;
  if (update.liveness == Liveness::dead) {
    this->board.trust.rejoiningAfterPause =
      this->processLifecycle(LifecycleEvent::declaredDead, now);
  }
  this->announceSelf(now);
}

void
MembershipController::requireFreshContact()
{
  this->board.trust.firstConfirmingProbe = this->nextSequence;
  this->board.trust.lastPeerContactAt = MilliTime{ -1 };
}

bool
MembershipController::processLifecycle(LifecycleEvent event, MilliTime now)
{
  if (!this->lifecycle.process(event)) {
    return false;
  }
  Member& self = this->board.self();
  const bool wasOwner = self.owner();
  self.phase = this->lifecycle.phase();
  this->board.trust.rejoiningAfterPause =
    this->board.trust.rejoiningAfterPause && self.phase == Phase::joining;
  this->ownersChanged = this->ownersChanged || wasOwner != self.owner();
  Event change;
  change.kind = EventKind::lifecycle;
  change.member = kSelf;
  change.note = lifecycleStateName(this->lifecycle.state());
  this->board.log(std::move(change));
  this->announceSelf(now);
  return true;
}

bool
MembershipController::takePartitionHealed()
{
  const bool noticed = this->partitionHealed;
  this->partitionHealed = false;
  return noticed;
}

bool
MembershipController::takeOwnersChanged()
{
  const bool changed = this->ownersChanged;
  this->ownersChanged = false;
  return changed;
}

void
MembershipController::announceSelf(MilliTime /*now*/)
{
  this->dissemination.enqueue(kSelf);
  std::size_t sent = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    const bool isUnheard = this->board.self().phase == Phase::joining &&
                           member.liveness == Liveness::unknown;
    if (!member.reachable() && !isUnheard) {
      continue;
    }
    this->sendProbe(i, ProbeKind::ping, this->nextSequence++);
    if (++sent == internal::kMaxDirectAnnouncements) {
      return;
    }
  }
}

void
MembershipController::tick(MilliTime now)
{
  if (now >= this->nextProbeAt) {
    this->nextProbeAt = now + internal::kProbePeriod;
    this->probeNext(now);
    this->probeDeadMembers();
    if (this->board.self().phase == Phase::joining) {
      this->pingUnheardMembers();
    }
  }
  this->checkPending(now);
  this->checkSuspects(now);
  this->announceRevision(now);
}

void
MembershipController::announceRevision(MilliTime now)
{
  const ViewState& view = this->board.view;
  if (!view.commitPending || now < this->nextRevisionAnnouncementAt) {
    return;
  }
  this->nextRevisionAnnouncementAt =
    now + internal::kRevisionAnnouncementPeriod;
  std::size_t sent = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (!member.reachable() || member.revision >= view.revision) {
      continue;
    }
    this->sendProbe(i, ProbeKind::ping, this->nextSequence++);
    if (++sent == internal::kMaxDirectAnnouncements) {
      return;
    }
  }
}

}
