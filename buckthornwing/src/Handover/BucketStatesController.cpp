#include "BucketStatesController.h"

#include "../Peer/FlowRecord.h"
#include "BucketFlags.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time after which a diversion takes effect. Each instance that trusts
/// its view has received the announcement by then.
constexpr MilliDuration kDiversionDelay{ 1200 };

}

BucketStatesController::BucketStatesController(Blackboard& board,
                                               RecordSender& sender)
  : board(board)
  , sender(sender)
{
}

void
BucketStatesController::divert(ServiceIndex index,
                               TargetIndex target,
                               MilliTime now)
{
  Service& service = this->board.services[index];
  const bool alreadyDiverted = std::any_of(
    service.diversions.begin(),
    service.diversions.end(),
    [&](const Diversion& diversion) { return diversion.target == target; });
  bool flaggedAny = false;
  for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
    const bool acting = this->board.slots[slotOf(b)].acting();
    const bool flagged = (service.flags[b] & bucket_flag::kDiverted) != 0;
    if (service.table[b] == target && acting && !flagged) {
      service.flags[b] |= bucket_flag::kDiverted;
      service.mayHaveFlags = true;
      flaggedAny = true;
    }
  }
  if (alreadyDiverted && !flaggedAny) {
    return;
  }
  std::erase_if(service.diversions, [&](const Diversion& diversion) {
    return diversion.target == target;
  });
  service.diversions.push_back({ target, now });
  if (flaggedAny) {
    this->announce();
  }
  this->repeatVersionUntil = now + internal::kDiversionDelay;
  this->nextVersionAt = now + internal::kVersionRepeatPeriod;
  Event event;
  event.kind = EventKind::diversion;
  event.service = index;
  event.target = target;
  event.note = "started";
  this->board.log(std::move(event));
}

bool
BucketStatesController::diversionInEffect(const Service& service,
                                          TargetIndex target,
                                          MilliTime now) const
{
  return std::any_of(service.diversions.begin(),
                     service.diversions.end(),
                     [&](const Diversion& diversion) {
                       return diversion.target == target &&
                              now - diversion.since >=
                                internal::kDiversionDelay;
                     });
}

void
BucketStatesController::endDiversion(ServiceIndex index, TargetIndex target)
{
  Service& service = this->board.services[index];
  std::erase_if(service.diversions, [&](const Diversion& diversion) {
    return diversion.target == target;
  });
  Event event;
  event.kind = EventKind::diversion;
  event.service = index;
  event.target = target;
  event.note = "ended";
  this->board.log(std::move(event));
}

void
BucketStatesController::tick(MilliTime now)
{
  this->requestMissing(now);
  this->answerRequests();
  this->repeatVersion(now);
  if (now >= this->nextSettleAt) {
    this->nextSettleAt = now + internal::kSettlePeriod;
    this->settle(now);
  }
}

/// \brief Queues the records of flows away from their table target for every
/// reachable member, for buckets that may be settled.
/// \returns whether any flow was queued.
bool
BucketStatesController::shareAwayFlows()
{
  bool queued = false;
  for (auto& [flow, entry] : this->board.flows) {
    const bool candidate =
      entry.has(entry_flag::kOwned) &&
      (entry.flags & (entry_flag::kAway | entry_flag::kClosed)) == 0;
    if (!candidate) {
      continue;
    }
    const Service& service = this->board.services[entry.service];
    const BucketIndex bucket = bucketOf(flow, service.bucketCount());
    const std::uint8_t flags = service.flags[bucket];
    const bool settles = (flags & internal::kUnsettled) != 0 &&
                         (flags & bucket_flag::kFlexible) == 0 &&
                         this->maySettle(service, bucket);
    if (!settles || entry.target == service.table[bucket]) {
      continue;
    }
    entry.flags |= entry_flag::kAway;
    queued = true;
    for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
      if (this->board.members[i].reachable()) {
        this->sender.enqueue(i, BatchPurpose::away, flow);
      }
    }
  }
  return queued;
}

/// \returns whether this instance may clear the flags of an unsettled bucket:
/// it knows all open flows of the bucket's slot, and the target of the bucket
/// is not diverted.
bool
BucketStatesController::maySettle(const Service& service,
                                  BucketIndex bucket) const
{
  const std::uint8_t flags = service.flags[bucket];
  const Slot& slot = this->board.slots[slotOf(bucket)];
  const bool diverted =
    std::any_of(service.diversions.begin(),
                service.diversions.end(),
                [&](const Diversion& diversion) {
                  return diversion.target == service.table[bucket];
                });
  return (flags & internal::kUnsettled) != 0 &&
         (flags & bucket_flag::kPending) == 0 && !diverted && slot.acting() &&
         !slot.handingOver && !slot.merging() && slot.hasAllFlows;
}

std::size_t
BucketStatesController::settleService(Service& service)
{
  std::size_t settled = 0;
  for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
    if (this->maySettle(service, b)) {
      internal::clearFlags(service.flags[b], internal::kUnsettled);
      ++settled;
    }
  }
  return settled;
}

/// \brief Updates Service::mayHaveFlags.
/// \returns whether any bucket of the service may be settled.
bool
BucketStatesController::anythingToSettle(Service& service) const
{
  if (!service.mayHaveFlags) {
    return false;
  }
  bool any = false;
  bool flagged = false;
  for (BucketIndex b = 0; b < service.bucketCount() && !any; ++b) {
    const bool unsettled = (service.flags[b] & internal::kUnsettled) != 0;
    flagged = flagged || unsettled;
    any = unsettled && this->maySettle(service, b);
  }
  service.mayHaveFlags = flagged;
  return any;
}

/// \brief Settles buckets in two steps: first sends the records of flows away
/// from their table target; once all are acknowledged, clears and announces the
/// flags.
void
BucketStatesController::settle(MilliTime /*now*/)
{
  if (!this->board.trust.trusted || this->board.view.commitPending) {
    return;
  }
  bool any = false;
  for (Service& service : this->board.services) {
    any = this->anythingToSettle(service) || any;
  }
  if (!any) {
    return;
  }
  const bool queued = this->shareAwayFlows();
  if (queued || !this->sender.idle(BatchPurpose::away)) {
    return;
  }
  std::size_t settled = 0;
  for (Service& service : this->board.services) {
    settled += this->settleService(service);
  }
  this->announce();
  Event event;
  event.kind = EventKind::settled;
  event.count = settled;
  this->board.log(std::move(event));
}

void
BucketStatesController::flagAll()
{
  for (Service& service : this->board.services) {
    service.mayHaveFlags = true;
    for (std::uint8_t& flags : service.flags) {
      flags |= bucket_flag::kDiverted;
    }
  }
  this->announce();
}

void
BucketStatesController::markVerified(const std::vector<bool>& slots)
{
  if (std::none_of(
        slots.begin(), slots.end(), [](bool slot) { return slot; })) {
    return;
  }
  for (Service& service : this->board.services) {
    for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
      if (slots[slotOf(b)]) {
        internal::clearFlags(service.flags[b], bucket_flag::kUnverified);
      }
    }
  }
  this->announce();
}

}
