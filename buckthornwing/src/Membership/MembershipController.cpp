#include "MembershipController.h"

#include "../Core/Assert.h"
#include "MembershipLimits.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time between two probes of one instance.
constexpr MilliDuration kProbePeriod{ 250 };
/// \brief How often a revision is told again to those that have not got it.
constexpr MilliDuration kRevisionNoticePeriod{ 250 };

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
MembershipController::learnListed(std::span<const InstanceConfig> instances)
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
  this->dissemination.spread(index);
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
  const bool givenUp = member.liveness == Liveness::dead &&
                       header.incarnation == member.incarnation;
  if (givenUp) {
    // It must learn that its flows have other owners before it counts again.
    if (probe == nullptr || probe->kind == ProbeKind::acknowledge) {
      this->sendProbe(index, ProbeKind::ping, this->nextSequence++);
    }
    const bool harmless =
      probe != nullptr || std::holds_alternative<Relay>(message.body) ||
      std::holds_alternative<ConfigurationRequest>(message.body);
    return harmless ? index : kNoMember;
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
  // Datagrams overtake each other; within an incarnation all of these grow.
  if (header.phase > member.phase) {
    member.phase = header.phase;
    this->dissemination.spread(index);
  }
  member.revision = std::max(member.revision, header.revision);
  member.statesVersion = std::max(member.statesVersion, header.statesVersion);
  member.lastHeard = now;
  this->setLiveness(index, Liveness::alive, now);
  this->ownersChanged = this->ownersChanged || wasOwner != member.owner();
  // It was live all along, so flows were placed on its side meanwhile.
  this->healed = this->healed || (wasDead && member.owner());
  if (!this->board.trust.paused) {
    this->board.trust.lastPeerContactAt = now;
  }
  return index;
}

void
MembershipController::takeUpdate(const MemberUpdate& update, MilliTime now)
{
  const MemberIndex index = this->addMember(update);
  if (index == kSelf) {
    this->takeUpdateOfSelf(update, now);
    return;
  }
  Member& member = this->board.members[index];
  if (update.incarnation < member.incarnation) {
    return;
  }
  const bool newer = update.incarnation > member.incarnation;
  const bool worse =
    update.liveness == Liveness::suspect || update.liveness == Liveness::dead;
  if (newer && !worse) {
    // Gossip supplies the address; only the member itself makes it count.
    member.address = update.address;
    member.zone = update.zone;
    return;
  }
  const bool applies =
    worse && member.reachable() && update.liveness > member.liveness;
  if (!applies) {
    return;
  }
  member.incarnation = update.incarnation;
  const bool recentlyHeard = now - member.lastHeard < internal::kSuspectAfter;
  if (update.liveness == Liveness::dead && recentlyHeard) {
    // It talks to this instance; it is told, and refutes.
    this->setLiveness(index, Liveness::suspect, now);
    return;
  }
  this->setLiveness(index, update.liveness, now);
}

void
MembershipController::takeUpdateOfSelf(const MemberUpdate& update,
                                       MilliTime now)
{
  Member& self = this->board.self();
  const bool accused =
    update.liveness == Liveness::suspect || update.liveness == Liveness::dead;
  if (!accused || update.incarnation < self.incarnation) {
    return;
  }
  self.incarnation = update.incarnation + 1;
  if (update.liveness == Liveness::dead) {
    this->board.trust.rejoining =
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
  this->board.trust.rejoining =
    this->board.trust.rejoining && self.phase == Phase::joining;
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
  const bool noticed = this->healed;
  this->healed = false;
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
  this->dissemination.spread(kSelf);
  std::size_t sent = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    const bool toFind = this->board.self().phase == Phase::joining &&
                        member.liveness == Liveness::unknown;
    if (!member.reachable() && !toFind) {
      continue;
    }
    this->sendProbe(i, ProbeKind::ping, this->nextSequence++);
    if (++sent == internal::kMostDirectAnnouncements) {
      return;
    }
  }
}

/// \brief A joiner looks for every listed instance until it is heard.
void
MembershipController::tick(MilliTime now)
{
  if (now >= this->nextProbeAt) {
    this->nextProbeAt = now + internal::kProbePeriod;
    this->probeNext(now);
    this->probeDead();
    if (this->board.self().phase == Phase::joining) {
      this->findListed();
    }
  }
  this->checkPending(now);
  this->checkSuspects(now);
  this->noticeRevision(now);
}

void
MembershipController::noticeRevision(MilliTime now)
{
  const ViewState& view = this->board.view;
  if (!view.commitPending || now < this->nextRevisionNoticeAt) {
    return;
  }
  this->nextRevisionNoticeAt = now + internal::kRevisionNoticePeriod;
  std::size_t sent = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (!member.reachable() || member.revision >= view.revision) {
      continue;
    }
    this->sendProbe(i, ProbeKind::ping, this->nextSequence++);
    if (++sent == internal::kMostDirectAnnouncements) {
      return;
    }
  }
}

}
