#include "PlacementController.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time for which the flows of a slot that was gained without a transfer
/// are placed by the table only, because another instance may still place them.
constexpr MilliDuration kOwnershipSettleTime{ 3000 };
/// \brief Time after which no retransmission arrives of an opening that another
/// owner forwarded: callers stop retransmitting within a minute.
constexpr MilliDuration kRetransmissionTime{ 64000 };
/// \brief Time for which a target must be available before its diversion ends.
constexpr MilliDuration kMinAvailableTime{ 5000 };
/// \brief Time after the last packet of a flow in which its key is placed on
/// the same target or not at all, if peers may still hold records of the flow.
constexpr std::uint32_t kKeyReuseSeconds = 60;

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
PlacementController::withoutTarget(const Slot& slot,
                                   Reason reason,
                                   MilliTime now) const
{
  Placement placement;
  placement.reason = reason;
  // Another owner may have forwarded the same opening before.
  placement.refused = (slot.hasAllFlows && !slot.merging()) ||
                      now - slot.heldSince >= internal::kRetransmissionTime;
  return placement;
}

bool
PlacementController::ownershipSettled(const Slot& slot, MilliTime now) const
{
  return slot.hasAllFlows ||
         now - slot.heldSince >= internal::kOwnershipSettleTime;
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
    const Placement reuse =
      this->chooseForReusedKey(service, *earlier, now, decided);
    if (decided) {
      return reuse;
    }
  }
  const Reason limit = checkServiceLimits(service, now);
  if (limit != Reason::none) {
    return this->withoutTarget(slot, limit, now);
  }
  return this->choose(index, flow, now);
}

Placement
PlacementController::chooseForReusedKey(const Service& service,
                                        const FlowEntry& earlier,
                                        MilliTime now,
                                        bool& decided) const
{
  constexpr std::uint16_t kKnownToPeers =
    entry_flag::kHinted | entry_flag::kAway;
  const auto second = static_cast<std::uint32_t>(now.ms / 1000);
  const bool recent = second < earlier.seenSecond + internal::kKeyReuseSeconds;
  decided = recent && (earlier.flags & kKnownToPeers) != 0;
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
    // Peers without this revision still use the previous table.
    const TargetIndex base = service.previousTarget(flow);
    const bool usable =
      base != kNoTargetIndex && this->board.targets[base].published;
    return Placement{ usable ? base : target, Reason::none, false, false };
  }
  if ((flags & bucket_flag::kFlexible) != 0 &&
      this->ownershipSettled(slot, now)) {
    return this->chooseByLoad(service, slot, now);
  }
  const bool available = this->load.available(service, target, now);
  const bool peersAskOwner = (flags & bucket_flag::kMovedByRevision) != 0 ||
                             (flags & bucket_flag::kFlexible) != 0;
  if (available && peersAskOwner &&
      this->board.random.unit() >= this->load.slowStartFactor(target, now)) {
    return this->chooseByLoad(service, slot, now);
  }
  if (available) {
    return Placement{ target, Reason::none, false, false };
  }
  if (service.serving.empty()) {
    return this->withoutTarget(slot, Reason::noTarget, now);
  }
  if (peersAskOwner || this->states.diversionInEffect(service, target, now)) {
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
    // No sampled target was available; consider each target once.
    for (const TargetIndex target : serving) {
      consider(target);
    }
  }
  if (best == kNoTargetIndex) {
    return this->withoutTarget(slot, Reason::noTarget, now);
  }
  return Placement{ best, Reason::none, false, true };
}

/// \returns whether a diversion has ended: its target no longer serves, or has
/// been available for long enough that it will not be full again at once.
bool
PlacementController::hasEnded(const Service& service,
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
  return now - diversion.availableSince >= internal::kMinAvailableTime;
}

void
PlacementController::tick(MilliTime now)
{
  for (std::size_t i = 0; i < this->board.services.size(); ++i) {
    Service& service = this->board.services[i];
    std::vector<TargetIndex> recovered;
    for (Diversion& diversion : service.diversions) {
      if (this->hasEnded(service, diversion, now)) {
        recovered.push_back(diversion.target);
      }
    }
    for (const TargetIndex target : recovered) {
      this->states.endDiversion(static_cast<ServiceIndex>(i), target);
    }
  }
}

}
