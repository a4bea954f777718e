#ifndef BUCKTHORNWING_FLOW_RESET_CONTROLLER_H
#define BUCKTHORNWING_FLOW_RESET_CONTROLLER_H

#include "TagBlackboard.h"

#include <vector>

namespace buckthornwing {

/// \brief A flow of a dead target whose caller is to be sent a reset.
struct FlowToReset
{
  FlowKey flow;
  std::uint32_t acknowledged = 0; ///< next byte that the caller expects
  TargetSlot target = kNoTargetSlot;
  bool targetLeft = false; ///< the registry reports the target as gone
};

/// \brief Resets flows of dead targets, so that their callers open new flows
/// before their deadlines.
class FlowResetController
{
public:
  explicit FlowResetController(TagBlackboard& board)
    : board(board)
  {
  }

  /// \brief Removes the flows of a dead target that benefit from a reset.
  /// \returns the removed flows
  ///
  /// A flow whose request is not idempotent stays until the registry reports
  /// the target as gone, because the answer may still arrive. A flow that is
  /// not established needs no reset: the next copy of its opening is placed on
  /// another target. Flows of a target that was never seen to answer stay until
  /// it is gone, too.
  std::vector<FlowToReset> resetFlowsOf(TargetSlot target);

private:
  TagBlackboard& board;
};

/// \returns whether a reset of a flow of a dead target helps its caller: the
/// flow is established and can be repeated on another target.
bool
benefitsFromReset(const TrackedFlow& flow);

}

#endif
