#ifndef BUCKTHORNWING_OWNERSHIP_CONTROLLER_H
#define BUCKTHORNWING_OWNERSHIP_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "BucketStatesController.h"
#include "RecordSender.h"

namespace buckthornwing {

/// \brief Keeps the owner of each slot and passes slots on.
///
/// A slot has one placing instance at a time: when its primary changes and
/// the old one still lives, the old one goes on placing until it has sent its
/// flow records and a transfer message; until then the new one relays to it.
class OwnershipController
{
public:
  OwnershipController(Blackboard& board,
                      RecordSender& sender,
                      BucketStatesController& states);

  /// \brief Computes the owners anew after the set of members changed.
  void reassign(MilliTime now);

  void onTransfer(MemberIndex from,
                  const OwnershipTransfer& transfer,
                  MilliTime now);

  void onBatch(MemberIndex from, const FlowBatch& batch, MilliTime now);

  /// \brief Expects records from the other side of a partition that healed.
  void startMerge(MilliTime now);

  /// \brief Sends transfer messages when their records have arrived.
  void tick(MilliTime now);

  /// \returns whether this instance places for no slot any more.
  bool drained() const;

private:
  Blackboard& board;
  RecordSender& sender;
  BucketStatesController& states;

  bool updateSlot(Slot& slot, const SlotOwners& owners, MilliTime now);
  void startLending(Slot& slot);
  void flagUnlessInSync(const std::vector<MemberIndex>& predecessors);
  void queueHandovers(const std::vector<bool>& slots);
  void takeOver(const std::vector<bool>& slots);
  void sendDisclaims(MilliTime now);
  void finishTransfersTo(MemberIndex member, MilliTime now);
  void releaseSlots(const std::vector<bool>& released);
  void takeRecord(const FlowRecord& record,
                  ServiceIndex service,
                  TargetIndex target,
                  BatchPurpose purpose,
                  MilliTime now);
};

}

#endif
