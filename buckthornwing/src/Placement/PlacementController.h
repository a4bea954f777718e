#ifndef BUCKTHORNWING_PLACEMENT_CONTROLLER_H
#define BUCKTHORNWING_PLACEMENT_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "../Handover/BucketStatesController.h"
#include "../Limits/ServiceLimits.h"
#include "../Load/LoadController.h"

namespace buckthornwing {

/// \brief Placement of a new flow; \c target is kNoTargetIndex if there is
/// none.
struct Placement
{
  TargetIndex target = kNoTargetIndex;
  Reason reason = Reason::none; ///< why there is no target
  bool refused = false;         ///< no target can have the flow: refuse it
  bool byLoad = false;          ///< selected by load, not by the table
};

/// \brief Selects targets for the new flows of slots that this instance acts
/// for.
///
/// A flow gets its bucket's target from the table, or from the previous table
/// while peers may lack the revision. It is placed by load only if peers relay
/// the bucket's unknown flows to the owner:
///
/// - in a flexible bucket, once ownership has settled;
/// - in a bucket that a revision moved, and in a flexible one before that,
///   while the target is unavailable, and partly during its slow start;
/// - in any other bucket, while the target is unavailable and its diversion is
///   in effect.
class PlacementController
{
public:
  PlacementController(Blackboard& board,
                      LoadController& load,
                      BucketStatesController& states);

  /// \brief Selects a target for a new flow.
  /// \param earlier the entry of an earlier flow with the same key, or nullptr
  /// \returns the target, or the reason why the flow is dropped or refused.
  Placement place(ServiceIndex service,
                  FlowId flow,
                  const FlowEntry* earlier,
                  MilliTime now);

  /// \brief Ends the diversions of targets that are available again.
  void tick(MilliTime now);

private:
  Blackboard& board;
  LoadController& load;
  BucketStatesController& states;

  Placement choose(ServiceIndex service, FlowId flow, MilliTime now);
  Placement chooseByLoad(const Service& service,
                         const Slot& slot,
                         MilliTime now);
  Placement chooseForReusedKey(const Service& service,
                               const FlowEntry& earlier,
                               MilliTime now,
                               bool& decided) const;
  Placement withoutTarget(const Slot& slot, Reason reason, MilliTime now) const;
  bool hasEnded(const Service& service,
                Diversion& diversion,
                MilliTime now) const;
  bool ownershipSettled(const Slot& slot, MilliTime now) const;
};

}

#endif
