#include "RecordSender.h"

#include <algorithm>
#include <array>

namespace buckthornwing {
namespace internal {

/// \brief Maximum number of records in one batch; keeps the datagram below the
/// usual path MTU.
constexpr std::size_t kMaxRecords = 110;
/// \brief Maximum number of distinct targets in one batch; a record refers to
/// its target by a one-byte position.
constexpr std::size_t kMaxTargets = 60;
/// \brief Size of the envelope, the header and the acknowledgement of one
/// batch.
constexpr double kBatchOverheadBytes = 110;
/// \brief Time for which a queue with fewer than kMinBatchRecords records waits
/// for more.
constexpr MilliDuration kMaxBatchDelay{ 1000 };
/// \brief Number of queued records that are sent without waiting for more.
constexpr std::size_t kMinBatchRecords = 60;
/// \brief Time after which an unacknowledged message is sent again.
constexpr MilliDuration kRetransmitAfter{ 500 };
/// \brief Number of times a message is sent before it is given up.
constexpr unsigned kMaxTries = 20;

/// \returns whether records of this purpose hand a flow over to a new owner.
bool
handsOver(BatchPurpose purpose)
{
  return purpose == BatchPurpose::handover ||
         purpose == BatchPurpose::handoverUnconfirmed;
}

/// \brief Maximum length of a queue of hints; more would wait too long to be of
/// use.
constexpr std::size_t kMaxQueuedHints = 2000;
/// \brief Maximum number of batches sent in one tick; bounds the tick's work.
constexpr unsigned kMaxBatchesPerTick = 64;

/// \brief Purposes by descending priority.
constexpr std::array kPurposes{
  BatchPurpose::handover, BatchPurpose::handoverUnconfirmed,
  BatchPurpose::withdraw, BatchPurpose::backup,
  BatchPurpose::away,     BatchPurpose::hint
};

}

RecordSender::RecordSender(Blackboard& board)
  : board(board)
{
  this->budget.configure(board.settings.transferBytesPerSecond,
                         board.settings.transferBurstBytes);
}

void
RecordSender::enqueue(MemberIndex to, BatchPurpose purpose, FlowId flow)
{
  const auto found = this->board.flows.find(flow);
  if (to == kNoMember || to == kSelf || found == this->board.flows.end()) {
    return;
  }
  const QueueKey key{ purpose, found->second.service, to };
  Queue& queue = this->queues[key];
  const bool droppable = purpose == BatchPurpose::hint;
  if (!droppable || queue.flows.size() < internal::kMaxQueuedHints) {
    queue.flows.push_back(flow);
  }
  if (internal::handsOver(purpose)) {
    this->countHandover(flow, found->second.service, 1);
  }
}

/// \brief Changes the count of unconfirmed handovers of a flow's slot.
void
RecordSender::countHandover(FlowId flow, ServiceIndex service, int change)
{
  Slot& slot = this->board.slots[this->board.slotOfFlow(flow, service)];
  slot.unconfirmedHandovers += static_cast<std::uint32_t>(change);
}

/// \brief Updates the slots' counts of unconfirmed handovers for a message that
/// was acknowledged or given up.
void
RecordSender::finishHandovers(const Pending& pending)
{
  const auto* batch = std::get_if<FlowBatch>(&pending.body);
  if (batch == nullptr || !internal::handsOver(batch->purpose)) {
    return;
  }
  const ServiceIndex service = this->board.serviceByTag.at(batch->service);
  const auto records = unpackFlowRecords(batch->records);
  for (const FlowRecord& record : *records) {
    this->countHandover(record.flow, service, -1);
  }
}

void
RecordSender::sendReliably(MemberIndex to,
                           OwnershipTransfer transfer,
                           MilliTime now)
{
  transfer.sequence = this->nextSequence++;
  this->board.send(to, transfer);
  this->pending[transfer.sequence] = Pending{ to, transfer, now, 1 };
}

void
RecordSender::acknowledge(MemberIndex to, std::uint32_t sequence)
{
  this->acknowledgements[to].push_back(sequence);
}

void
RecordSender::onAcknowledgement(const Acknowledgement& acknowledgement)
{
  for (const std::uint32_t sequence : acknowledgement.sequences) {
    const auto found = this->pending.find(sequence);
    if (found != this->pending.end()) {
      this->finishHandovers(found->second);
      this->pending.erase(found);
    }
  }
}

void
RecordSender::tick(MilliTime now)
{
  this->retransmit(now);
  this->sendBatches(now);
  this->sendAcknowledgements();
}

void
RecordSender::sendBatches(MilliTime now)
{
  this->budget.refill(now);
  unsigned batches = 0;
  for (const BatchPurpose purpose : internal::kPurposes) {
    while (batches < internal::kMaxBatchesPerTick &&
           this->sendNextBatch(purpose, now)) {
      ++batches;
    }
  }
}

/// \returns whether a batch of the queue should be sent now. Handovers wait for
/// neither the byte budget nor more records.
bool
RecordSender::ready(const QueueKey& key, Queue& queue, MilliTime now) const
{
  if (queue.flows.empty()) {
    return false;
  }
  if (internal::handsOver(key.purpose)) {
    return true;
  }
  if (this->budget.tokens <= 0) {
    return false;
  }
  if (queue.waitingSince.ms < 0) {
    queue.waitingSince = now;
  }
  return queue.flows.size() >= internal::kMinBatchRecords ||
         now - queue.waitingSince >= internal::kMaxBatchDelay;
}

/// \brief Sends the next batch of a purpose.
/// \returns false if no queue of the purpose is ready.
bool
RecordSender::sendNextBatch(BatchPurpose purpose, MilliTime now)
{
  // Start after the queue that was served last: round robin over the queues.
  const auto begin = this->queues.lower_bound({ purpose, 0, 0 });
  const auto end =
    this->queues.upper_bound({ purpose, kNoServiceIndex, kNoMember });
  auto start = this->queues.upper_bound(this->lastServed);
  const bool within = this->lastServed.purpose == purpose;
  if (!within || start == end) {
    start = begin;
  }
  const auto steps = std::distance(begin, end);
  auto next = start;
  for (auto step = steps; step > 0; --step) {
    if (this->ready(next->first, next->second, now)) {
      break;
    }
    ++next;
    next = next == end ? begin : next;
    if (step == 1) {
      return false;
    }
  }
  if (steps == 0) {
    return false;
  }
  const QueueKey key = next->first;
  this->lastServed = key;
  FlowBatch batch = this->buildBatch(key, next->second, now);
  if (next->second.flows.empty()) {
    this->queues.erase(next);
  }
  const MemberIndex to = key.to;
  if (batch.records.empty()) {
    return true;
  }
  if (!this->board.members[to].reachable()) {
    this->finishHandovers(Pending{ to, std::move(batch), now, 1 });
    return true;
  }
  this->budget.takeUnconditionally(static_cast<double>(batch.records.size()) +
                                     internal::kBatchOverheadBytes,
                                   now);
  this->countSent(batch);
  this->board.send(to, batch);
  const std::uint32_t sequence = batch.sequence;
  this->pending[sequence] = Pending{ to, std::move(batch), now, 1 };
  return true;
}

bool
RecordSender::stillWanted(const FlowEntry& entry, BatchPurpose purpose) const
{
  if (purpose == BatchPurpose::withdraw) {
    return entry.has(entry_flag::kClosed);
  }
  return !entry.has(entry_flag::kClosed);
}

/// \brief Takes records from a queue, skipping flows that have ended.
FlowBatch
RecordSender::buildBatch(const QueueKey& key, Queue& queue, MilliTime now)
{
  FlowBatch batch;
  batch.sequence = this->nextSequence++;
  batch.purpose = key.purpose;
  const ServiceIndex service = key.service;
  batch.service = this->board.services[service].tag;
  std::size_t records = 0;
  while (!queue.flows.empty() && records < internal::kMaxRecords) {
    const FlowId flow = queue.flows.front();
    const auto found = this->board.flows.find(flow);
    const bool wanted = found != this->board.flows.end() &&
                        found->second.service == service &&
                        this->stillWanted(found->second, batch.purpose);
    if (!wanted) {
      if (internal::handsOver(batch.purpose)) {
        this->countHandover(flow, service, -1);
      }
      queue.flows.pop_front();
      continue;
    }
    const std::uint32_t tag = this->board.targets[found->second.target].tag;
    auto position = std::find(batch.targets.begin(), batch.targets.end(), tag);
    if (position == batch.targets.end()) {
      if (batch.targets.size() == internal::kMaxTargets) {
        break;
      }
      position = batch.targets.insert(batch.targets.end(), tag);
    }
    const std::int64_t placedMs =
      std::int64_t{ found->second.placedSecond } * 1000;
    const FlowRecord record{ flow,
                             static_cast<std::uint8_t>(position -
                                                       batch.targets.begin()),
                             MilliDuration{ now.ms - placedMs } };
    packFlowRecord(record, batch.records);
    queue.flows.pop_front();
    ++records;
  }
  queue.waitingSince = MilliTime{ -1 };
  return batch;
}

void
RecordSender::countSent(const FlowBatch& batch)
{
  const std::size_t records = batch.records.size() / kFlowRecordBytes;
  Counters& counters = this->board.counters;
  switch (batch.purpose) {
    case BatchPurpose::handover:
    case BatchPurpose::handoverUnconfirmed:
      counters.handedOver += records;
      break;
    case BatchPurpose::backup:
      counters.backedUp += records;
      break;
    case BatchPurpose::away:
    case BatchPurpose::withdraw:
      counters.awayShared += records;
      break;
    case BatchPurpose::hint:
      counters.hinted += records;
      break;
  }
}

void
RecordSender::retransmit(MilliTime now)
{
  for (auto next = this->pending.begin(); next != this->pending.end();) {
    Pending& pending = next->second;
    const bool givenUp = !this->board.members[pending.to].reachable() ||
                         pending.tries >= internal::kMaxTries;
    if (givenUp) {
      this->finishHandovers(pending);
      next = this->pending.erase(next);
      continue;
    }
    if (now - pending.sentAt >= internal::kRetransmitAfter) {
      pending.sentAt = now;
      ++pending.tries;
      this->board.send(pending.to, pending.body);
    }
    ++next;
  }
}

void
RecordSender::sendAcknowledgements()
{
  for (auto& [member, sequences] : this->acknowledgements) {
    this->board.send(member, Acknowledgement{ std::move(sequences) });
  }
  this->acknowledgements.clear();
}

bool
RecordSender::idle(MemberIndex to, BatchPurpose purpose) const
{
  const auto queued = [&](const auto& item) {
    return item.first.to == to && item.first.purpose == purpose;
  };
  const auto unacknowledged = [&](const auto& item) {
    const auto* batch = std::get_if<FlowBatch>(&item.second.body);
    return item.second.to == to && batch != nullptr &&
           batch->purpose == purpose;
  };
  return std::none_of(this->queues.begin(), this->queues.end(), queued) &&
         std::none_of(
           this->pending.begin(), this->pending.end(), unacknowledged);
}

bool
RecordSender::idle(BatchPurpose purpose) const
{
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    if (this->board.members[i].reachable() && !this->idle(i, purpose)) {
      return false;
    }
  }
  return true;
}

bool
RecordSender::transfersDone() const
{
  return std::none_of(
    this->pending.begin(), this->pending.end(), [](const auto& item) {
      return std::holds_alternative<OwnershipTransfer>(item.second.body);
    });
}

}
