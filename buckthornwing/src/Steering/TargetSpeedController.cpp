#include "TargetSpeedController.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace buckthornwing {
namespace internal {

/// \brief Minimum time between two changes of a target's class; it bounds the
/// number of events.
constexpr MilliDuration kMinClassDuration{ 5000 };

const char*
speedClassName(SpeedClass speed)
{
  switch (speed) {
    case SpeedClass::typical:
      return "typical";
    case SpeedClass::slower:
      return "slower";
    case SpeedClass::faster:
      return "faster";
  }
  return "unknown";
}

}

void
TargetSpeedController::update(MilliTime now)
{
  if (!this->board.settings.policy.weighsSpeeds) {
    return;
  }
  this->updated.assign(this->board.registry.targets().size(), false);
  const std::size_t services = this->board.routes.routes().services.size();
  for (ServiceSlot service = 0; service < services; ++service) {
    this->updateService(this->board.pools.targetsOf(service), now);
  }
}

void
TargetSpeedController::updateService(std::span<const TargetSlot> targets,
                                     MilliTime now)
{
  std::vector<ServiceTimeEstimate> estimates;
  for (const TargetSlot slot : targets) {
    estimates.push_back(serviceTimeOf(this->board.observer.load(slot), now));
  }
  const std::optional<double> medianMs = medianServiceMs(estimates);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    // A target of several services is compared with those of the first one.
    if (!this->updated[targets[i]]) {
      this->updated[targets[i]] = true;
      this->updateTarget(targets[i], estimates[i], medianMs, now);
    }
  }
}

void
TargetSpeedController::updateTarget(TargetSlot slot,
                                    const ServiceTimeEstimate& estimate,
                                    std::optional<double> medianMs,
                                    MilliTime now)
{
  TargetLoad& load = this->board.observer.mutableLoad(slot);
  const RelativeServiceTime before = load.relativeServiceTime;
  const RelativeServiceTime after =
    relativeServiceTime(estimate, medianMs, before);
  if (speedClassOf(after) == speedClassOf(before)) {
    load.relativeServiceTime = after;
    return;
  }
  const bool changedRecently =
    load.speedChangedAt.ms != 0 &&
    now - load.speedChangedAt < internal::kMinClassDuration;
  if (changedRecently) {
    return;
  }
  load.relativeServiceTime = after;
  load.speedChangedAt = now;
  this->reportClass(slot, estimate, medianMs);
}

void
TargetSpeedController::reportClass(TargetSlot slot,
                                   const ServiceTimeEstimate& estimate,
                                   std::optional<double> medianMs)
{
  const RelativeServiceTime relative =
    this->board.observer.load(slot).relativeServiceTime;
  std::ostringstream note;
  note << internal::speedClassName(speedClassOf(relative));
  if (medianMs) {
    note << ", " << std::fixed << std::setprecision(2)
         << estimate.ms / *medianMs << " times the median of "
         << std::setprecision(1) << *medianMs << " ms";
  }
  this->board.events.push_back({ TagEventKind::targetSpeed,
                                 this->board.registry.at(slot).record.id,
                                 0,
                                 static_cast<std::int64_t>(estimate.ms),
                                 note.str() });
}

}
