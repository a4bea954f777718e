#ifndef BUCKTHORNWING_STEERING_CONTROLLER_H
#define BUCKTHORNWING_STEERING_CONTROLLER_H

#include "AdmissionController.h"
#include "HealthController.h"
#include "PlacementPolicy.h"
#include "TagBlackboard.h"
#include "UnknownRoutes.h"
#include "UnknownTargets.h"

namespace buckthornwing {

/// \brief Decides what happens to each packet that a tagging fabric delivers.
class SteeringController
{
public:
  SteeringController(TagBlackboard& board,
                     HealthController& health,
                     AdmissionController& admission)
    : board(board)
    , health(health)
    , admission(admission)
  {
  }

  /// \returns the decision for a packet, which is also counted.
  SteeringDecision decide(const CallerPacket& packet, MilliTime now);

  /// \brief Decides a held packet again. The decision is counted unless the
  /// packet stays held.
  SteeringDecision decideHeld(const CallerPacket& packet, MilliTime now);

  /// \returns the decision that the first packet of a flow would get now.
  /// Changes and counts nothing.
  SteeringDecision preview(const FlowKey& flow, MilliTime now) const;

  /// \returns whether the registry must be read in full now; see
  /// UnknownTargets::needsTargetListing().
  bool needsTargetListing(MilliTime now)
  {
    return this->unknownTargets.needsTargetListing(now);
  }

private:
  TagBlackboard& board;
  HealthController& health;
  AdmissionController& admission;
  LeastLoadPlacement byLoad;
  HashPlacement byHash;
  UnknownRoutes unknownRoutes;
  UnknownTargets unknownTargets;

  SteeringDecision choose(const CallerPacket& packet, MilliTime now);
  /// \brief Decides while a part of the view that the packet needs is missing.
  /// Packets of open flows are forwarded as soon as the targets are loaded: the
  /// tag alone identifies the target, and routes may take much longer to load.
  SteeringDecision decideWithoutView(const CallerPacket& packet,
                                     MilliTime now) const;
  /// \brief Decides an opening without any effect; finish() records it.
  SteeringDecision decideOpening(const CallerPacket& packet,
                                 FlowId id,
                                 MilliTime now) const;
  /// \brief Records a new flow that was placed or refused.
  void recordOpening(const SteeringDecision& decision,
                     FlowId id,
                     MilliTime now);
  /// \returns whether copies of a flow's opening go to its target, which may
  /// have accepted the flow, although the target may take no new flows now.
  bool takesCopies(const TrackedFlow& flow) const;
  SteeringDecision place(const CallerPacket& packet,
                         FlowId id,
                         const Route& route,
                         MilliTime now) const;
  SteeringDecision decideOpenFlow(const CallerPacket& packet,
                                  FlowId id,
                                  MilliTime now);
  SteeringDecision decideForUnknownRoute(const CallerPacket& packet,
                                         FlowId id,
                                         MilliTime now);
  SteeringDecision finish(const CallerPacket& packet,
                          FlowId id,
                          SteeringDecision decision,
                          MilliTime now);
  SteeringDecision decideForDeadTarget(const CallerPacket& packet,
                                       FlowId id,
                                       SteeringDecision decision,
                                       MilliTime now);
  /// \returns a reset if the view is fresh, otherwise a drop, because an old
  /// view may lack a new route or target.
  SteeringDecision resetOrDrop(SteeringDecision decision,
                               SteeringReason reason,
                               MilliTime now) const;
  bool isViewFresh(MilliTime now) const;
  void observe(const CallerPacket& packet,
               FlowId id,
               const SteeringDecision& decision,
               MilliTime now);
  void count(const SteeringDecision& decision);
};

}

#endif
