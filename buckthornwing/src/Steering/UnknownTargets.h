#ifndef BUCKTHORNWING_UNKNOWN_TARGETS_H
#define BUCKTHORNWING_UNKNOWN_TARGETS_H

#include "TagBlackboard.h"
#include "UndecidedFlows.h"

namespace buckthornwing {

/// \brief Distinguishes flows whose target has left the registry from those
/// whose target this instance has not received yet.
///
/// A target is registered before flows to it are opened. If the registry was
/// read after a packet of the flow was seen and does not list the target, the
/// target has left. The exception is a registry that has just lost entries; a
/// process that has just read the registry for the first time can't know
/// whether that happened.
class UnknownTargets
{
public:
  /// \returns whether the target of a flow with an unknown tag has left.
  bool hasTargetLeft(const TagBlackboard& board, FlowId flow, MilliTime now);

  /// \returns whether a full read of the registry would decide a waiting flow.
  /// True at most once a second.
  bool needsTargetListing(MilliTime now);

private:
  bool needsListing = false; ///< a flow waits for a newer list of targets
  MilliTime nextListing{};   ///< earliest time of the next full read
  UndecidedFlows undecided;
};

}

#endif
