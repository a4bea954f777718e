#ifndef BUCKTHORNWING_TRUST_CONTROLLER_H
#define BUCKTHORNWING_TRUST_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "MembershipController.h"

namespace buckthornwing {

/// \brief Decides whether this instance may act on its own view.
///
/// An instance trusts its view while it hears peers, none of which speaks of
/// a newer revision, and it did not pause; or when a bounded time of silence
/// proves it alone. Without trust it forwards flows that it has entries for,
/// and neither places flows nor follows the table.
class TrustController
{
public:
  TrustController(Blackboard& board, MembershipController& membership);

  /// \brief Notices a jump of the clock; called before every input.
  void noticePause(MilliTime now);

  /// \brief Evaluates trust and moves the life cycle on.
  void evaluate(MilliTime now);

  /// \brief Notes the end of a tick, from which the next gap is measured.
  void endTick(MilliTime now);

private:
  Blackboard& board;
  MembershipController& membership;
  MilliTime joiningSince{ -1 };
  MilliTime wokeAt{};

  bool alone(MilliTime now) const;
  bool inContact(MilliTime now) const;
  bool knowsStates() const;
};

}

#endif
