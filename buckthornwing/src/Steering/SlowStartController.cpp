#include "SlowStartController.h"

#include <algorithm>
#include <utility>

namespace buckthornwing {

void
SlowStartController::tick(MilliTime now)
{
  if (!limitsColdTargets(this->board.routes.routes())) {
    this->endLimits(now);
    return;
  }
  this->isLimiting = true;
  const std::vector<TargetSlot> slots = this->findLimited(now);
  std::vector<ColdTarget> targets;
  targets.reserve(slots.size());
  for (const TargetSlot slot : slots) {
    targets.push_back(this->coldTargetOf(this->board.registry.at(slot)));
  }
  this->board.slowStart.update(this->board.activeMembers, targets, now);
  this->reportChanges(slots, now);
}

void
SlowStartController::endLimits(MilliTime now)
{
  if (!this->isLimiting) {
    return;
  }
  this->isLimiting = false;
  this->reportChanges({}, now);
  this->board.slowStart = SlowStartLimiter{};
}

std::vector<TargetSlot>
SlowStartController::findLimited(MilliTime now) const
{
  std::vector<TargetSlot> slots;
  const auto targets = this->board.registry.targets();
  for (TargetSlot slot = 0; slot < targets.size(); ++slot) {
    const KnownTarget& target = targets[slot];
    if (target.isCold(now) && this->warmupRateOf(target) > 0) {
      slots.push_back(slot);
    }
  }
  return slots;
}

double
SlowStartController::warmupRateOf(const KnownTarget& target) const
{
  double least = 0;
  for (const SelectedService& service : this->board.routes.routes().services) {
    const bool isLimiting =
      service.warmupRate > 0 && matches(service.selector, target.record.labels);
    if (isLimiting && (least == 0 || service.warmupRate < least)) {
      least = service.warmupRate;
    }
  }
  return least;
}

ColdTarget
SlowStartController::coldTargetOf(const KnownTarget& target) const
{
  const TagSettings& settings = this->board.settings;
  const double allowance =
    this->warmupRateOf(target) * settings.warmupOverage + settings.warmupSlack;
  return { target.key, zoneKeyOf(target.record.zone), allowance };
}

void
SlowStartController::reportChanges(std::span<const TargetSlot> slots,
                                   MilliTime now)
{
  std::map<TargetKey, std::string> before;
  std::swap(before, this->limited);
  for (const TargetSlot slot : slots) {
    const KnownTarget& target = this->board.registry.at(slot);
    this->limited[target.key] = target.record.id;
    if (before.erase(target.key) == 0) {
      this->board.events.push_back({ TagEventKind::slowStartBegan,
                                     target.record.id,
                                     target.version.revision,
                                     target.remainingWarmup(now).ms,
                                     {} });
    }
  }
  for (const auto& [key, id] : before) {
    this->board.events.push_back(
      { TagEventKind::slowStartEnded, id, 0, 0, {} });
  }
}

}
