#ifndef BUCKTHORNWING_RESCUE_CONTROLLER_H
#define BUCKTHORNWING_RESCUE_CONTROLLER_H

#include "TagBoard.h"

#include <vector>

namespace buckthornwing {

/// \brief A flow that can't go on, and what its caller waits for.
struct RescuedFlow
{
  FlowKey flow;
  std::uint32_t acknowledged = 0;
  TargetSlot target = kNoTargetSlot;
  bool targetLeft = false; ///< as the registry says
};

/// \brief Frees flows from targets that are dead, so that callers open new
/// ones in time.
class RescueController
{
public:
  explicit RescueController(TagBoard& board)
    : board(board)
  {
  }

  /// \brief Takes out the flows of a dead target that a reset helps.
  ///
  /// A request that can't be repeated keeps waiting, because its answer may be
  /// on the way, until the registry says that the target left. An opening needs
  /// no reset: its next copy finds another target.
  std::vector<RescuedFlow> rescueFrom(TargetSlot target);

private:
  TagBoard& board;
};

/// \returns whether a flow of a dead target gains by a reset.
bool
gainsByReset(const TrackedFlow& flow);

}

#endif
