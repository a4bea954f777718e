#ifndef BUCKTHORNWING_OWNERSHIP_CONTROLLER_H
#define BUCKTHORNWING_OWNERSHIP_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "BucketStatesController.h"
#include "RecordSender.h"

namespace buckthornwing {

/// \brief Assigns an owner to each slot and hands slots over to new owners.
///
/// One instance at a time places the flows of a slot. When the primary owner
/// changes and the old one is still reachable, the old one continues to place
/// flows until it has sent its flow records and a transfer message; until then
/// the new one relays openings to it.
class OwnershipController
{
public:
  OwnershipController(Blackboard& board,
                      RecordSender& sender,
                      BucketStatesController& states);

  /// \brief Recomputes the owners of all slots after the set of members
  /// changed.
  void reassign(MilliTime now);

  /// \brief Processes the end of a handover to this instance.
  void onTransfer(MemberIndex from,
                  const OwnershipTransfer& transfer,
                  MilliTime now);

  /// \brief Stores the flow records of a peer. A batch with an unknown service
  /// or target is ignored and not acknowledged.
  void onBatch(MemberIndex from, const FlowBatch& batch, MilliTime now);

  /// \brief Prepares this instance's slots for handovers from the other side of
  /// a partition that has healed.
  void startMerge(MilliTime now);

  /// \brief Sends transfer messages for slots whose records were acknowledged,
  /// and ends waits that timed out.
  void tick(MilliTime now);

  /// \returns whether this instance has handed over all its slots and their
  /// transfer messages were acknowledged.
  bool drained() const;

private:
  Blackboard& board;
  RecordSender& sender;
  BucketStatesController& states;

  bool updateSlot(Slot& slot, const SlotOwners& owners, MilliTime now);
  void startHandover(Slot& slot);
  void flagUnsynchronized(const std::vector<MemberIndex>& predecessors);
  void queueHandovers(const std::vector<bool>& slots);
  void takeOverEntries(const std::vector<bool>& slots);
  void sendDisclaimers(MilliTime now);
  void finishTransfersTo(MemberIndex member, MilliTime now);
  void releaseSlots(const std::vector<bool>& released);
  void applyRecord(const FlowRecord& record,
                   ServiceIndex service,
                   TargetIndex target,
                   BatchPurpose purpose,
                   MilliTime now);
};

}

#endif
