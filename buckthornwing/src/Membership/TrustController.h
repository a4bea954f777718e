#ifndef BUCKTHORNWING_TRUST_CONTROLLER_H
#define BUCKTHORNWING_TRUST_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "MembershipController.h"

namespace buckthornwing {

/// \brief Decides whether this instance may act on its own view, which is the
/// configuration and the members that it knows.
///
/// An instance trusts its view while it has recent contact with peers and no
/// reachable peer has announced a newer revision. If no peer is reachable, it
/// trusts its view after a bounded time without contact, as the only instance.
/// After a pause of the process, the view must be confirmed anew in the same
/// way. Without trust, an instance forwards the flows that it has entries for,
/// but places no new ones and does not use the lookup table.
class TrustController
{
public:
  TrustController(Blackboard& board, MembershipController& membership);

  /// \brief Detects that the process did not run for a while; to be called
  /// before every input is processed.
  void detectPause(MilliTime now);

  /// \brief Updates the trust state and advances the life cycle accordingly.
  void evaluate(MilliTime now);

  /// \brief Records the end of a tick; pauses are measured from it.
  void recordTickEnd(MilliTime now);

private:
  Blackboard& board;
  MembershipController& membership;
  MilliTime joiningSince{ -1 }; ///< start of trust while joining; -1 if none
  MilliTime resumedAt{};        ///< end of the last pause

  bool isSoleInstance(MilliTime now) const;
  bool hasRecentContact(MilliTime now) const;
  bool hasAllBucketStates() const;
};

}

#endif
