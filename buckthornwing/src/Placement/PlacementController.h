#ifndef BUCKTHORNWING_PLACEMENT_CONTROLLER_H
#define BUCKTHORNWING_PLACEMENT_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "../Handover/BucketStatesController.h"
#include "../Limits/ServiceLimits.h"
#include "../Load/LoadController.h"

namespace buckthornwing {

/// \brief Where a new flow goes; \c target is kNoTargetIndex if nowhere.
struct Placement
{
  TargetIndex target = kNoTargetIndex;
  Reason reason = Reason::none; ///< why nowhere
  bool refused = false;         ///< certain that no target has the flow
  bool byLoad = false;          ///< chosen by load, not by the table
};

/// \brief Places new flows of the slots that this instance acts for.
class PlacementController
{
public:
  PlacementController(Blackboard& board,
                      LoadController& load,
                      BucketStatesController& states);

  /// \param earlier the entry of an earlier flow of the same key, or nothing
  Placement place(ServiceIndex service,
                  FlowId flow,
                  const FlowEntry* earlier,
                  MilliTime now);

  /// \brief Ends diversions of targets that can take flows again.
  void tick(MilliTime now);

private:
  Blackboard& board;
  LoadController& load;
  BucketStatesController& states;

  Placement choose(ServiceIndex service, FlowId flow, MilliTime now);
  Placement chooseByLoad(const Service& service,
                         const Slot& slot,
                         MilliTime now);
  Placement chooseReuse(const Service& service,
                        const FlowEntry& earlier,
                        MilliTime now,
                        bool& decided) const;
  Placement nowhere(const Slot& slot, Reason reason, MilliTime now) const;
  bool isOver(const Service& service,
              Diversion& diversion,
              MilliTime now) const;
  bool ownershipSettled(const Slot& slot, MilliTime now) const;
};

}

#endif
