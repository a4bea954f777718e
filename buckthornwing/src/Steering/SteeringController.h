#ifndef BUCKTHORNWING_STEERING_CONTROLLER_H
#define BUCKTHORNWING_STEERING_CONTROLLER_H

#include "HealthController.h"
#include "PlacementPolicy.h"
#include "TagBoard.h"
#include "UnknownRoutes.h"
#include "UnknownTargets.h"

namespace buckthornwing {

/// \brief Decides the one outcome of each packet of a tagging fabric.
class SteeringController
{
public:
  SteeringController(TagBoard& board, HealthController& health)
    : board(board)
    , health(health)
  {
  }

  SteeringDecision decide(const CallerPacket& packet, MilliTime now);

  /// \brief Decides a held packet again; only its end is counted.
  SteeringDecision decideHeld(const CallerPacket& packet, MilliTime now);

  /// \returns whether a full read of the registry is needed now.
  bool wantsListing(MilliTime now)
  {
    return this->unknownTargets.wantsListing(now);
  }

private:
  TagBoard& board;
  HealthController& health;
  LeastLoadPlacement byLoad;
  HashPlacement byHash;
  UnknownRoutes unknownRoutes;
  UnknownTargets unknownTargets;

  SteeringDecision choose(const CallerPacket& packet, MilliTime now);
  /// \brief Carries open flows on as soon as the targets are known. The tag
  /// alone names their target; routes may take much longer to load.
  SteeringDecision decideWithoutRoutes(const CallerPacket& packet,
                                       MilliTime now);
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
  SteeringDecision decideForUnknownRoute(const CallerPacket& packet,
                                         FlowId id,
                                         MilliTime now);
  SteeringDecision finish(const CallerPacket& packet,
                          FlowId id,
                          SteeringDecision decision,
                          MilliTime now);
  SteeringDecision decideForDead(const CallerPacket& packet,
                                 FlowId id,
                                 SteeringDecision decision);
  /// \brief Refuses what a fresh view does not allow; drops what an old one
  /// does not know.
  SteeringDecision refuse(SteeringDecision decision,
                          SteeringReason reason,
                          MilliTime now) const;
  bool isFresh(MilliTime now) const;
  void observe(const CallerPacket& packet,
               FlowId id,
               const SteeringDecision& decision,
               MilliTime now);
  void count(const SteeringDecision& decision);
};

}

#endif
