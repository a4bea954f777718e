#include "TrustController.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Minimum time since the last tick that counts as a pause; ticks are
/// 100 ms apart.
constexpr MilliDuration kPauseThreshold{ 1000 };
/// \brief Maximum age of the last contact with a peer.
constexpr MilliDuration kContactTimeout{ 1000 };
/// \brief Time without contact and without a reachable member after which this
/// instance considers itself the only one.
constexpr MilliDuration kSoleInstanceTimeout{ 3000 };
/// \brief Minimum time that a joining instance trusts its view before it owns
/// flows.
constexpr MilliDuration kMinJoinTime{ 1000 };
/// \brief Maximum time that a joining instance waits for the bucket states of
/// every owner.
constexpr MilliDuration kMaxJoinTime{ 5000 };

}

TrustController::TrustController(Blackboard& board,
                                 MembershipController& membership)
  : board(board)
  , membership(membership)
{
}

void
TrustController::detectPause(MilliTime now)
{
  TrustState& trust = this->board.trust;
  const bool ticked = trust.lastTick.ms >= 0;
  if (!ticked || trust.paused ||
      now - trust.lastTick < internal::kPauseThreshold) {
    return;
  }
  trust.paused = true;
  trust.trusted = false;
  // Messages that were sent before the pause may still be queued; they do not
  // confirm the view.
  this->membership.requireFreshContact();
  this->resumedAt = now;
  ++this->board.counters.pauses;
  this->membership.processLifecycle(LifecycleEvent::paused, now);
  this->membership.announceSelf(now);
}

void
TrustController::recordTickEnd(MilliTime now)
{
  this->board.trust.lastTick = now;
}

bool
TrustController::isSoleInstance(MilliTime now) const
{
  const auto& members = this->board.members;
  const bool anyReachable =
    std::any_of(members.begin() + 1, members.end(), [](const Member& member) {
      return member.reachable();
    });
  const TrustState& trust = this->board.trust;
  const MilliTime silentSince =
    std::max({ trust.startedAt, trust.lastPeerContactAt, this->resumedAt });
  return !anyReachable && now - silentSince >= internal::kSoleInstanceTimeout;
}

bool
TrustController::hasRecentContact(MilliTime now) const
{
  const MilliTime contact = this->board.trust.lastPeerContactAt;
  return contact.ms >= 0 && now - contact <= internal::kContactTimeout;
}

bool
TrustController::hasAllBucketStates() const
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
  const bool confirmed =
    this->hasRecentContact(now) || this->isSoleInstance(now);
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
  const bool ready =
    waited >= internal::kMinJoinTime && this->hasAllBucketStates();
  if (ready || waited >= internal::kMaxJoinTime) {
    this->membership.processLifecycle(LifecycleEvent::confirmed, now);
  }
}

}
