#include "TrustController.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief A gap between ticks above this is a pause; ticks come every 100 ms.
constexpr MilliDuration kPauseAfter{ 1000 };
/// \brief Peers must have been heard within this time.
constexpr MilliDuration kContactFresh{ 1000 };
/// \brief Silence for so long, with no member reachable, means alone.
constexpr MilliDuration kAloneAfter{ 3000 };
/// \brief A joiner listens to its peers for so long before it owns flows.
constexpr MilliDuration kJoinAfter{ 1000 };
/// \brief It waits so long for every owner's announcement of its buckets.
constexpr MilliDuration kJoinAtLatest{ 5000 };

}

TrustController::TrustController(Blackboard& board,
                                 MembershipController& membership)
  : board(board)
  , membership(membership)
{
}

void
TrustController::noticePause(MilliTime now)
{
  TrustState& trust = this->board.trust;
  const bool ticked = trust.lastTick.ms >= 0;
  if (!ticked || trust.paused || now - trust.lastTick < internal::kPauseAfter) {
    return;
  }
  trust.paused = true;
  trust.trusted = false;
  // What peers said before the pause, still queued, confirms nothing.
  this->membership.requireFreshContact();
  this->wokeAt = now;
  ++this->board.counters.pauses;
  this->membership.processLifecycle(LifecycleEvent::paused, now);
  this->membership.announceSelf(now);
}

void
TrustController::endTick(MilliTime now)
{
  this->board.trust.lastTick = now;
}

bool
TrustController::alone(MilliTime now) const
{
  const auto& members = this->board.members;
  const bool anyReachable =
    std::any_of(members.begin() + 1, members.end(), [](const Member& member) {
      return member.reachable();
    });
  const TrustState& trust = this->board.trust;
  const MilliTime quietSince =
    std::max({ trust.startedAt, trust.lastPeerContactAt, this->wokeAt });
  return !anyReachable && now - quietSince >= internal::kAloneAfter;
}

bool
TrustController::inContact(MilliTime now) const
{
  const MilliTime contact = this->board.trust.lastPeerContactAt;
  return contact.ms >= 0 && now - contact <= internal::kContactFresh;
}

bool
TrustController::knowsStates() const
{
  const auto& members = this->board.members;
  return std::all_of(
    members.begin() + 1, members.end(), [](const Member& member) {
      return !member.owner() || member.statesApplied == member.statesVersion;
    });
}

void
TrustController::evaluate(MilliTime now)
{
  TrustState& trust = this->board.trust;
  ViewState& view = this->board.view;
  view.newestPeerRevision = view.revision;
  for (const Member& member : this->board.members) {
    if (member.reachable()) {
      view.newestPeerRevision =
        std::max(view.newestPeerRevision, member.revision);
    }
  }
  const bool current =
    view.revision > 0 && view.newestPeerRevision == view.revision;
  const bool confirmed = this->inContact(now) || this->alone(now);
  if (trust.paused && current && confirmed) {
    trust.paused = false;
    this->membership.processLifecycle(LifecycleEvent::resumed, now);
  }
  trust.trusted = current && confirmed && !trust.paused;

  const bool joining =
    this->membership.lifecycleState() == LifecycleState::joining;
  if (!joining || !trust.trusted) {
    this->joiningSince = MilliTime{ -1 };
    return;
  }
  if (this->joiningSince.ms < 0) {
    this->joiningSince = now;
  }
  const MilliDuration waited = now - this->joiningSince;
  const bool ready = waited >= internal::kJoinAfter && this->knowsStates();
  if (ready || waited >= internal::kJoinAtLatest) {
    this->membership.processLifecycle(LifecycleEvent::confirmed, now);
  }
}

}
