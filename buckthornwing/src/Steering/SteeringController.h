#ifndef BUCKTHORNWING_STEERING_CONTROLLER_H
#define BUCKTHORNWING_STEERING_CONTROLLER_H

#include "PlacementPolicy.h"
#include "TagBoard.h"

namespace buckthornwing {

/// \brief Decides the one outcome of each packet of a tagging fabric.
class SteeringController
{
public:
  explicit SteeringController(TagBoard& board)
    : board(board)
  {
  }

  SteeringDecision decide(const CallerPacket& packet, MilliTime now);

private:
  TagBoard& board;
  LeastLoadPlacement placement;

  SteeringDecision decideOpening(const CallerPacket& packet,
                                 FlowId id,
                                 MilliTime now);
  SteeringDecision place(const CallerPacket& packet,
                         FlowId id,
                         const Route& route,
                         MilliTime now);
  SteeringDecision decideLater(const CallerPacket& packet,
                               FlowId id,
                               MilliTime now);
  bool isFresh(MilliTime now) const;
  void count(const SteeringDecision& decision);
};

}

#endif
