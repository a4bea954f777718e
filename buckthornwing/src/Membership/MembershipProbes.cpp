/// \file
/// \brief How MembershipController probes other instances: pings, pings through
/// others, and what their silence means.

#include "MembershipController.h"

#include "../Core/Assert.h"
#include "MembershipLimits.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief A ping unanswered for so long is tried through others.
constexpr MilliDuration kIndirectAfter{ 150 };
/// \brief A suspect that does not refute within this time is dead.
constexpr MilliDuration kDeadAfter{ 1500 };
/// \brief Instances that are asked to ping one that did not answer.
constexpr unsigned kIndirectProbes = 2;
/// \brief One probe in so many goes to a member that was never heard.
constexpr unsigned kUnreachableProbeEvery = 4;
/// \brief Dead members pinged in each period, so that a healed partition is
/// noticed before its packets are misjudged.
constexpr unsigned kDeadProbes = 4;

}

void
MembershipController::sendProbe(MemberIndex to,
                                ProbeKind kind,
                                std::uint32_t sequence,
                                MemberTag subject)
{
  this->board.send(
    to, Probe{ kind, sequence, subject, this->dissemination.take(to) });
}

void
MembershipController::pingEndpoint(const Endpoint& endpoint)
{
  if (endpoint == this->board.self().address) {
    return;
  }
  const Probe probe{ ProbeKind::ping,
                     this->nextSequence++,
                     0,
                     { describeMember(this->board.self()) } };
  this->board.outbox.messages.push_back(
    { endpoint, { this->board.header(), probe } });
}

void
MembershipController::onProbe(MemberIndex from,
                              const Probe& probe,
                              MilliTime now)
{
  for (const MemberUpdate& update : probe.updates) {
    this->takeUpdate(update, now);
  }
  switch (probe.kind) {
    case ProbeKind::ping:
      this->sendProbe(from, ProbeKind::acknowledge, probe.sequence);
      break;
    case ProbeKind::pingRequest: {
      const MemberIndex subject = this->board.findMember(probe.subject);
      if (subject == kNoMember || subject == kSelf) {
        break;
      }
      const std::uint32_t sequence = this->nextSequence++;
      this->forwarded[sequence] = ForwardedProbe{ from, probe.sequence };
      this->sendProbe(subject, ProbeKind::ping, sequence);
      break;
    }
    case ProbeKind::acknowledge: {
      // After a pause, only an answer to a question asked since counts.
      if (probe.sequence >= this->board.trust.firstConfirmingProbe) {
        this->board.trust.lastPeerContactAt = now;
      }
      this->pending.erase(probe.sequence);
      const auto found = this->forwarded.find(probe.sequence);
      if (found != this->forwarded.end()) {
        const ForwardedProbe request = found->second;
        this->forwarded.erase(found);
        this->sendProbe(
          request.requester, ProbeKind::acknowledge, request.sequence);
      }
      break;
    }
  }
}

void
MembershipController::probeDead()
{
  std::vector<MemberIndex> dead;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.liveness == Liveness::dead && member.phase != Phase::stopped) {
      dead.push_back(i);
    }
  }
  for (unsigned n = 0; n < internal::kDeadProbes && !dead.empty(); ++n) {
    const std::size_t pick = this->board.random.below(dead.size());
    this->sendProbe(dead[pick], ProbeKind::ping, this->nextSequence++);
    dead.erase(dead.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void
MembershipController::findListed()
{
  std::size_t sent = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const bool toFind = this->board.members[i].liveness == Liveness::unknown;
    if (toFind && ++sent <= internal::kMostDirectAnnouncements) {
      this->sendProbe(i, ProbeKind::ping, this->nextSequence++);
    }
  }
}

MemberIndex
MembershipController::nextToProbe()
{
  const bool unreachableTurn =
    ++this->probesSent % internal::kUnreachableProbeEvery == 0;
  std::vector<MemberIndex> unreachable;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.liveness == Liveness::unknown) {
      unreachable.push_back(i);
    }
  }
  if (!unreachable.empty() &&
      (unreachableTurn || this->board.trust.lastPeerContactAt.ms < 0)) {
    return unreachable[this->board.random.below(unreachable.size())];
  }
  if (this->round.empty()) {
    for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
      if (this->board.members[i].reachable()) {
        this->round.push_back(i);
      }
    }
  }
  if (this->round.empty()) {
    return kNoMember;
  }
  const std::size_t pick = this->board.random.below(this->round.size());
  const MemberIndex member = this->round[pick];
  this->round[pick] = this->round.back();
  this->round.pop_back();
  return member;
}

void
MembershipController::probeNext(MilliTime now)
{
  const MemberIndex member = this->nextToProbe();
  if (member == kNoMember) {
    if (this->board.members.size() == 1) {
      for (const Endpoint& seed : this->board.settings.seeds) {
        this->pingEndpoint(seed);
      }
    }
    return;
  }
  const std::uint32_t sequence = this->nextSequence++;
  if (this->board.members[member].reachable()) {
    this->pending[sequence] = PendingProbe{ member, now, false };
  }
  this->sendProbe(member, ProbeKind::ping, sequence);
}

void
MembershipController::askOthersToPing(MemberIndex member,
                                      std::uint32_t sequence)
{
  std::vector<MemberIndex> others;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& other = this->board.members[i];
    if (i != member && other.liveness == Liveness::alive) {
      others.push_back(i);
    }
  }
  for (unsigned n = 0; n < internal::kIndirectProbes && !others.empty(); ++n) {
    const std::size_t pick = this->board.random.below(others.size());
    this->sendProbe(others[pick],
                    ProbeKind::pingRequest,
                    sequence,
                    this->board.members[member].tag);
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void
MembershipController::checkPending(MilliTime now)
{
  for (auto next = this->pending.begin(); next != this->pending.end();) {
    PendingProbe& probe = next->second;
    const Member& member = this->board.members[probe.member];
    const MilliDuration waited = now - probe.sentAt;
    const bool answered = member.lastHeard >= probe.sentAt;
    if (answered || !member.reachable()) {
      next = this->pending.erase(next);
      continue;
    }
    if (waited >= internal::kSuspectAfter) {
      this->setLiveness(probe.member, Liveness::suspect, now);
      next = this->pending.erase(next);
      continue;
    }
    if (waited >= internal::kIndirectAfter && !probe.indirect) {
      probe.indirect = true;
      this->askOthersToPing(probe.member, next->first);
    }
    ++next;
  }
  constexpr std::size_t kMostForwarded = 256;
  while (this->forwarded.size() > kMostForwarded) {
    this->forwarded.erase(this->forwarded.begin());
  }
}

void
MembershipController::checkSuspects(MilliTime now)
{
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.liveness == Liveness::suspect &&
        now - member.suspectedAt >= internal::kDeadAfter) {
      this->setLiveness(i, Liveness::dead, now);
    }
  }
}

}
