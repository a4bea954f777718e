/// \file
/// \brief Probes of MembershipController: direct and indirect pings, and their
/// timeouts.

#include "MembershipController.h"

#include "../Core/Assert.h"
#include "MembershipLimits.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time after which an unanswered ping is repeated through other
/// instances.
constexpr MilliDuration kIndirectProbeDelay{ 150 };
/// \brief Time within which a suspect must refute; otherwise it is dead.
constexpr MilliDuration kRefutationTimeout{ 1500 };
/// \brief Number of instances that are asked to ping one that did not answer.
constexpr unsigned kIndirectProbers = 2;
/// \brief One in this many probes goes to a member that has not been heard yet.
constexpr unsigned kUnheardProbeInterval = 4;
/// \brief Maximum number of dead members pinged in each period, so that the end
/// of a partition is detected before packets from its other side are handled
/// wrongly.
constexpr unsigned kDeadProbesPerPeriod = 4;

}

void
MembershipController::sendProbe(MemberIndex to,
                                ProbeKind kind,
                                std::uint32_t sequence,
                                MemberTag subject)
{
  this->board.send(
    to, Probe{ kind, sequence, subject, this->dissemination.takeUpdates(to) });
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
    this->applyUpdate(update, now);
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
      // After a pause, only acknowledgements of later pings confirm the view.
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
MembershipController::probeDeadMembers()
{
  std::vector<MemberIndex> dead;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.liveness == Liveness::dead && member.phase != Phase::stopped) {
      dead.push_back(i);
    }
  }
  for (unsigned n = 0; n < internal::kDeadProbesPerPeriod && !dead.empty();
       ++n) {
    const std::size_t pick = this->board.random.below(dead.size());
    this->sendProbe(dead[pick], ProbeKind::ping, this->nextSequence++);
    dead.erase(dead.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void
MembershipController::pingUnheardMembers()
{
  std::size_t sent = 0;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const bool isUnheard = this->board.members[i].liveness == Liveness::unknown;
    if (isUnheard && ++sent <= internal::kMaxDirectAnnouncements) {
      this->sendProbe(i, ProbeKind::ping, this->nextSequence++);
    }
  }
}

MemberIndex
MembershipController::nextToProbe()
{
  const bool unheardTurn =
    ++this->probesSent % internal::kUnheardProbeInterval == 0;
  std::vector<MemberIndex> unheard;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.liveness == Liveness::unknown) {
      unheard.push_back(i);
    }
  }
  if (!unheard.empty() &&
      (unheardTurn || this->board.trust.lastPeerContactAt.ms < 0)) {
    return unheard[this->board.random.below(unheard.size())];
  }
  if (this->probeRound.empty()) {
    for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
      if (this->board.members[i].reachable()) {
        this->probeRound.push_back(i);
      }
    }
  }
  if (this->probeRound.empty()) {
    return kNoMember;
  }
  const std::size_t pick = this->board.random.below(this->probeRound.size());
  const MemberIndex member = this->probeRound[pick];
  this->probeRound[pick] = this->probeRound.back();
  this->probeRound.pop_back();
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
MembershipController::requestIndirectPings(MemberIndex member,
                                           std::uint32_t sequence)
{
  std::vector<MemberIndex> others;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& other = this->board.members[i];
    if (i != member && other.liveness == Liveness::alive) {
      others.push_back(i);
    }
  }
  for (unsigned n = 0; n < internal::kIndirectProbers && !others.empty(); ++n) {
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
    if (waited >= internal::kPingTimeout) {
      this->setLiveness(probe.member, Liveness::suspect, now);
      next = this->pending.erase(next);
      continue;
    }
    if (waited >= internal::kIndirectProbeDelay && !probe.indirect) {
      probe.indirect = true;
      this->requestIndirectPings(probe.member, next->first);
    }
    ++next;
  }
  constexpr std::size_t kMaxForwarded = 256;
  while (this->forwarded.size() > kMaxForwarded) {
    this->forwarded.erase(this->forwarded.begin());
  }
}

void
MembershipController::checkSuspects(MilliTime now)
{
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    const Member& member = this->board.members[i];
    if (member.liveness == Liveness::suspect &&
        now - member.suspectedAt >= internal::kRefutationTimeout) {
      this->setLiveness(i, Liveness::dead, now);
    }
  }
}

}
