#ifndef BUCKTHORNWING_RECORD_SENDER_H
#define BUCKTHORNWING_RECORD_SENDER_H

#include "../Board/Blackboard.h"
#include "../Peer/FlowRecord.h"

#include <deque>
#include <map>
#include <vector>

namespace buckthornwing {

/// \brief Sends flow records in acknowledged batches under a byte budget.
///
/// Handovers come first, then backups, then flows away from their table
/// target, then hints. Within a purpose the services take turns, so that a
/// flood in one does not hold up the records of another.
class RecordSender
{
public:
  explicit RecordSender(Blackboard& board);

  /// \brief Queues a flow for a member.
  void enqueue(MemberIndex to, BatchPurpose purpose, FlowId flow);

  /// \brief Sends a message that is repeated until it is acknowledged.
  void sendReliably(MemberIndex to, OwnershipTransfer transfer, MilliTime now);

  /// \brief Notes that a message with a sequence number was taken.
  void acknowledge(MemberIndex to, std::uint32_t sequence);

  void onAcknowledgement(const Acknowledgement& acknowledgement);

  /// \brief Sends what the budget allows, repeats what was lost.
  void tick(MilliTime now);

  /// \returns whether nothing for this member and purpose is on its way.
  bool idle(MemberIndex to, BatchPurpose purpose) const;

  /// \returns whether nothing of this purpose is on its way to anyone.
  bool idle(BatchPurpose purpose) const;

  /// \returns whether no ownership transfer waits for its acknowledgement.
  bool transfersDone() const;

private:
  /// \brief Orders the queues by purpose, then by service.
  struct QueueKey
  {
    BatchPurpose purpose = BatchPurpose::handover;
    ServiceIndex service = 0;
    MemberIndex to = 0;

    auto operator<=>(const QueueKey&) const = default;
  };

  struct Queue
  {
    std::deque<FlowId> flows;
    MilliTime waitingSince{ -1 };
  };

  /// \brief A message that waits for its acknowledgement.
  struct Pending
  {
    MemberIndex to = kNoMember;
    PeerBody body;
    MilliTime sentAt{};
    unsigned tries = 1;
  };

  Blackboard& board;
  TokenBucket budget;
  std::map<QueueKey, Queue> queues;
  QueueKey lastServed{};
  std::map<std::uint32_t, Pending> pending;
  std::map<MemberIndex, std::vector<std::uint32_t>> acknowledgements;
  std::uint32_t nextSequence = 1;

  void noteHandover(FlowId flow, ServiceIndex service, int change);
  void confirm(const Pending& pending);
  void pump(MilliTime now);
  bool pumpPurpose(BatchPurpose purpose, MilliTime now);
  bool ready(const QueueKey& key, Queue& queue, MilliTime now) const;
  FlowBatch buildBatch(const QueueKey& key, Queue& queue, MilliTime now);
  bool stillWanted(const FlowEntry& entry, BatchPurpose purpose) const;
  void countSent(const FlowBatch& batch);
  void repeat(MilliTime now);
  void sendAcknowledgements();
};

}

#endif
