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
/// Handovers have the highest priority, followed by withdrawals, backups, flows
/// away from their table target, and hints. Queues of the same purpose are
/// served round robin, so that a flood of flows of one service does not delay
/// the records of another. Handovers use the budget, but do not wait for it.
class RecordSender
{
public:
  explicit RecordSender(Blackboard& board);

  /// \brief Queues the record of a flow for a member. Has no effect without
  /// such a member or flow, or if the queue of hints is full.
  void enqueue(MemberIndex to, BatchPurpose purpose, FlowId flow);

  /// \brief Sends a transfer message and repeats it until it is acknowledged or
  /// given up.
  void sendReliably(MemberIndex to, OwnershipTransfer transfer, MilliTime now);

  /// \brief Queues the acknowledgement of a received message; it is sent at the
  /// next tick.
  void acknowledge(MemberIndex to, std::uint32_t sequence);

  /// \brief Processes a peer's acknowledgement of messages.
  void onAcknowledgement(const Acknowledgement& acknowledgement);

  /// \brief Sends what the budget allows, repeats unacknowledged messages, and
  /// sends acknowledgements.
  void tick(MilliTime now);

  /// \returns whether no record of this purpose is queued for the member or
  /// unacknowledged by it.
  bool idle(MemberIndex to, BatchPurpose purpose) const;

  /// \returns whether no record of this purpose is queued for a reachable
  /// member or unacknowledged by one.
  bool idle(BatchPurpose purpose) const;

  /// \returns whether no transfer message is unacknowledged.
  bool transfersDone() const;

private:
  /// \brief Key of a queue; orders the queues by purpose, service and member.
  struct QueueKey
  {
    BatchPurpose purpose = BatchPurpose::handover;
    ServiceIndex service = 0;
    MemberIndex to = 0;

    auto operator<=>(const QueueKey&) const = default;
  };

  /// \brief Flows whose records are to be sent.
  struct Queue
  {
    std::deque<FlowId> flows;
    MilliTime waitingSince{ -1 }; ///< negative if it does not wait
  };

  /// \brief An unacknowledged message.
  struct Pending
  {
    MemberIndex to = kNoMember;
    PeerBody body;
    MilliTime sentAt{};
    unsigned tries = 1; ///< number of times it was sent
  };

  Blackboard& board;
  TokenBucket budget;
  std::map<QueueKey, Queue> queues;
  QueueKey lastServed{};
  std::map<std::uint32_t, Pending> pending;
  std::map<MemberIndex, std::vector<std::uint32_t>> acknowledgements;
  std::uint32_t nextSequence = 1;

  void countHandover(FlowId flow, ServiceIndex service, int change);
  void finishHandovers(const Pending& pending);
  void sendBatches(MilliTime now);
  bool sendNextBatch(BatchPurpose purpose, MilliTime now);
  bool ready(const QueueKey& key, Queue& queue, MilliTime now) const;
  FlowBatch buildBatch(const QueueKey& key, Queue& queue, MilliTime now);
  bool stillWanted(const FlowEntry& entry, BatchPurpose purpose) const;
  void countSent(const FlowBatch& batch);
  void retransmit(MilliTime now);
  void sendAcknowledgements();
};

}

#endif
