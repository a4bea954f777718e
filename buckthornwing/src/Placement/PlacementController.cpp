#include "PlacementController.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief A slot gained without a transfer is placed by the table for so
/// long, because another instance may still place its flows too.
constexpr MilliDuration kOwnershipSettles{ 3000 };
/// \brief After so long no opening that another owner forwarded still comes:
/// callers give up retransmitting within a minute.
constexpr MilliDuration kRefusableAfter{ 64000 };
/// \brief A diversion ends when its target was available for so long.
constexpr MilliDuration kAvailableFor{ 5000 };
/// \brief The key of a flow that was hinted is placed anew only this long
/// after it closed, unless it goes to the same target.
constexpr std::uint32_t kReuseAfterSeconds = 60;

}

PlacementController::PlacementController(Blackboard& board,
                                         LoadController& load,
                                         BucketStatesController& states)
  : board(board)
  , load(load)
  , states(states)
{
}

Placement
PlacementController::nowhere(const Slot& slot,
                             Reason reason,
                             MilliTime now) const
{
  Placement placement;
  placement.reason = reason;
  // Another owner may have forwarded the same opening before.
  placement.refused = (slot.knowsAll && !slot.merging()) ||
                      now - slot.heldSince >= internal::kRefusableAfter;
  return placement;
}

bool
PlacementController::ownershipSettled(const Slot& slot, MilliTime now) const
{
  return slot.knowsAll || now - slot.heldSince >= internal::kOwnershipSettles;
}

Placement
PlacementController::place(ServiceIndex index,
                           FlowId flow,
                           const FlowEntry* earlier,
                           MilliTime now)
{
  Service& service = this->board.services[index];
  const Slot& slot =
    this->board.slots[slotOf(bucketOf(flow, service.bucketCount()))];
  if (!this->board.trust.trusted) {
    return Placement{ kNoTargetIndex, Reason::viewSuspect, false, false };
  }
  if (earlier != nullptr && earlier->service == index) {
    bool decided = false;
    const Placement reuse = this->chooseReuse(service, *earlier, now, decided);
    if (decided) {
      return reuse;
    }
  }
  const Reason limit = checkServiceLimits(service, now);
  if (limit != Reason::none) {
    return this->nowhere(slot, limit, now);
  }
  return this->choose(index, flow, now);
}

Placement
PlacementController::chooseReuse(const Service& service,
                                 const FlowEntry& earlier,
                                 MilliTime now,
                                 bool& decided) const
{
  constexpr std::uint16_t kKnownElsewhere =
    entry_flag::kHinted | entry_flag::kAway;
  const auto second = static_cast<std::uint32_t>(now.ms / 1000);
  const bool recent =
    second < earlier.seenSecond + internal::kReuseAfterSeconds;
  decided = recent && (earlier.flags & kKnownElsewhere) != 0;
  if (!decided) {
    return {};
  }
  const bool selected =
    std::find(service.serving.begin(), service.serving.end(), earlier.target) !=
    service.serving.end();
  if (selected && this->load.available(service, earlier.target, now)) {
    return Placement{ earlier.target, Reason::none, false, true };
  }
  return Placement{ kNoTargetIndex, Reason::recentlyClosed, false, false };
}

Placement
PlacementController::choose(ServiceIndex index, FlowId flow, MilliTime now)
{
  const Service& service = this->board.services[index];
  const BucketIndex bucket = bucketOf(flow, service.bucketCount());
  const Slot& slot = this->board.slots[slotOf(bucket)];
  const std::uint8_t flags = service.flags[bucket];
  TargetIndex target = service.table[bucket];
  if ((flags & bucket_flag::kPending) != 0) {
    // Peers without this revision still follow the table before it.
    const TargetIndex base = service.baseTarget(flow);
    const bool usable =
      base != kNoTargetIndex && this->board.targets[base].published;
    return Placement{ usable ? base : target, Reason::none, false, false };
  }
  if ((flags & bucket_flag::kFlexible) != 0 &&
      this->ownershipSettled(slot, now)) {
    return this->chooseByLoad(service, slot, now);
  }
  const bool available = this->load.available(service, target, now);
  const bool asked =
    (flags & bucket_flag::kMoved) != 0 || (flags & bucket_flag::kFlexible) != 0;
  if (available && asked &&
      this->board.random.unit() >= this->load.warmth(target, now)) {
    return this->chooseByLoad(service, slot, now);
  }
  if (available) {
    return Placement{ target, Reason::none, false, false };
  }
  if (service.serving.empty()) {
    return this->nowhere(slot, Reason::noTarget, now);
  }
  if (asked || this->states.divertedLongEnough(service, target, now)) {
    return this->chooseByLoad(service, slot, now);
  }
  this->states.divert(index, target, now);
  return Placement{ kNoTargetIndex, Reason::diverting, false, false };
}

Placement
PlacementController::chooseByLoad(const Service& service,
                                  const Slot& slot,
                                  MilliTime now)
{
  const auto& serving = service.serving;
  TargetIndex best = kNoTargetIndex;
  double bestCost = 0;
  const auto consider = [&](TargetIndex target) {
    if (!this->load.available(service, target, now)) {
      return;
    }
    const double cost = this->load.placementCost(target, now);
    if (best == kNoTargetIndex || cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  };
  const unsigned choices = this->board.settings.policy.placementChoices;
  for (unsigned i = 0; i < choices && !serving.empty(); ++i) {
    consider(serving[this->board.random.below(serving.size())]);
  }
  if (best == kNoTargetIndex) {
    // The draws were all unavailable; look at every target once.
    for (const TargetIndex target : serving) {
      consider(target);
    }
  }
  if (best == kNoTargetIndex) {
    return this->nowhere(slot, Reason::noTarget, now);
  }
  return Placement{ best, Reason::none, false, true };
}

/// \returns whether a diversion is over: its target went, or has been able to
/// take flows for long enough that it will not be full again at once.
bool
PlacementController::isOver(const Service& service,
                            Diversion& diversion,
                            MilliTime now) const
{
  if (!this->board.targets[diversion.target].serving()) {
    return true;
  }
  if (!this->load.available(service, diversion.target, now)) {
    diversion.availableSince = MilliTime{ -1 };
    return false;
  }
  if (diversion.availableSince.ms < 0) {
    diversion.availableSince = now;
  }
  return now - diversion.availableSince >= internal::kAvailableFor;
}

void
PlacementController::tick(MilliTime now)
{
  for (std::size_t i = 0; i < this->board.services.size(); ++i) {
    Service& service = this->board.services[i];
    std::vector<TargetIndex> recovered;
    for (Diversion& diversion : service.diversions) {
      if (this->isOver(service, diversion, now)) {
        recovered.push_back(diversion.target);
      }
    }
    for (const TargetIndex target : recovered) {
      this->states.endDiversion(static_cast<ServiceIndex>(i), target);
    }
  }
}

}
