#include "Checks.h"

namespace buckthornwing::emulator {

Checks::Checks(EmulationParts& parts)
  : parts(parts)
{
}

bool
Checks::mustMeetBounds(std::size_t index)
{
  const Instance& instance = this->parts.instances.at(index);
  const MilliDuration settling = this->parts.deployment.bounds.settlingTime;
  const bool doBoundsApply = instance.stability.isStable(settling) &&
                             this->parts.storeStability.isStable(settling) &&
                             bootTime() - instance.startedAt >= settling;
  this->parts.guarantees.count(doBoundsApply ? "checks_with_bounds"
                                             : "checks_without_bounds");
  return doBoundsApply;
}

MilliTime
Checks::routesSince(MilliTime sentAt) const
{
  const MilliDuration limit =
    this->parts.deployment.bounds.maxRouteChangeDelay +
    Bounds::kMaxEmulatorDelay;
  return MilliTime{ sentAt.ms - limit.ms };
}

std::string
Checks::describe(const CallerFlow& flow,
                 std::uint64_t target,
                 std::size_t instance) const
{
  return formatFlowKey(flow.key) + " target " + formatTargetId(target) +
         " instance entry-" + std::to_string(instance) + " of " +
         this->parts.instances.at(instance).zone;
}

void
Checks::onOpening(const CallerPacket& packet,
                  const CallerFlow* flow,
                  const Target& target,
                  const Endpoint& from)
{
  const auto instance = this->parts.instances.indexOf(from);
  if (flow == nullptr || !instance ||
      packet.openingCopyIndex >= flow->openingCount) {
    this->parts.guarantees.reportViolation(
      "packets_unchanged", "an opening packet that no caller sent");
    return;
  }
  const MilliTime sentAt = flow->openingTimes[packet.openingCopyIndex];
  this->checkService(*flow, sentAt, target, *instance);
  this->checkNoVersionRegression(*flow, sentAt, target, *instance);
  this->checkNotEvacuated(*flow, target, *instance);
  if (!target.drainingSince) {
    return;
  }
  const MilliDuration since = bootTime() - *target.drainingSince;
  const MilliDuration limit =
    this->parts.deployment.bounds.maxDrainDelay + Bounds::kMaxEmulatorDelay;
  if (since > limit && this->mustMeetBounds(*instance)) {
    this->parts.guarantees.count("late_at_" + formatTargetId(target.number));
    this->parts.guarantees.reportViolation(
      "no_new_flow_at_draining",
      this->describe(*flow, target.number, *instance) + ", " +
        std::to_string(since.ms) + " ms after the store accepted its drain");
  }
}

void
Checks::checkNotEvacuated(const CallerFlow& flow,
                          const Target& target,
                          std::size_t instance)
{
  const auto evacuatedAt = this->parts.evacuations.since(target.zone);
  if (!evacuatedAt) {
    return;
  }
  const MilliDuration since = bootTime() - *evacuatedAt;
  const MilliDuration limit =
    Bounds::kMaxEvacuationDelay + Bounds::kMaxEmulatorDelay;
  this->parts.guarantees.count("openings_to_evacuated");
  if (since > limit && this->mustMeetBounds(instance)) {
    this->parts.guarantees.reportViolation(
      "no_new_flow_at_evacuated",
      this->describe(flow, target.number, instance) + " in " + target.zone +
        ", " + std::to_string(since.ms) +
        " ms after the store accepted the evacuation");
  }
}

void
Checks::checkService(const CallerFlow& flow,
                     MilliTime sentAt,
                     const Target& target,
                     std::size_t instance)
{
  const std::string& service =
    this->parts.deployment.services[target.service].name;
  const auto allServices =
    this->parts.routes.servicesSince(flow.route, MilliTime{});
  const auto recent =
    this->parts.routes.servicesSince(flow.route, this->routesSince(sentAt));
  const bool doBoundsApply = this->mustMeetBounds(instance);
  if (!allServices.contains(service) ||
      (doBoundsApply && !recent.contains(service))) {
    this->parts.guarantees.reportViolation(
      "selection",
      this->describe(flow, target.number, instance) + " of " + service);
  }
}

void
Checks::checkNoVersionRegression(const CallerFlow& flow,
                                 MilliTime sentAt,
                                 const Target& target,
                                 std::size_t instance)
{
  const auto versions = this->parts.routes.versionsOf(
    flow.route, this->parts.deployment.services[target.service].name);
  const unsigned processNumber = this->parts.instances.at(instance).startCount;
  if (versions && this->observedVersions.observe(
                    { instance, processNumber, flow.route, *versions, sentAt },
                    bootTime())) {
    this->parts.guarantees.reportViolation(
      "no_way_back", this->describe(flow, target.number, instance));
  }
}

void
Checks::onPacket(const CallerPacket& packet,
                 const CallerFlow* flow,
                 std::uint64_t targetNumber)
{
  if (flow == nullptr || flow->target == 0 || targetNumber == flow->target) {
    return;
  }
  this->parts.guarantees.reportViolation(
    "one_target",
    formatFlowKey(packet.flow) + " of " + std::to_string(flow->target) +
      " went to " + std::to_string(targetNumber));
}

void
Checks::onReset(const CallerFlow& flow, const Endpoint& sender)
{
  const auto instance = this->parts.instances.indexOf(sender);
  if (!instance) {
    this->parts.guarantees.reportViolation(
      "resets_only", "the sender of a reset is not an instance");
    return;
  }
  if (flow.state == CallerFlow::State::opening) {
    this->checkRefusal(flow, *instance);
  } else {
    this->checkOpenFlowReset(flow, *instance);
  }
}

void
Checks::checkRefusal(const CallerFlow& flow, std::size_t instance)
{
  const MilliTime sentAt = flow.openingTimes[0];
  const auto recent =
    this->parts.routes.servicesSince(flow.route, this->routesSince(sentAt));
  const bool hadRoute = !recent.contains("");
  // For some time after an evacuation, instances may still keep to it.
  const auto isUsable = [this](const Target& target) {
    return !this->parts.evacuations.wasEvacuatedWithin(
      target.zone, Bounds::kMaxEvacuationDelay);
  };
  bool canServe = true;
  for (const std::string& service : recent) {
    canServe = canServe && this->parts.targets.canServe(service, isUsable);
  }
  this->parts.guarantees.count("refusals");
  if (hadRoute && canServe && this->mustMeetBounds(instance)) {
    this->parts.guarantees.reportViolation("no_needless_refusal",
                                           this->describe(flow, 0, instance));
  }
}

void
Checks::checkOpenFlowReset(const CallerFlow& flow, std::size_t instance)
{
  const Target* target = this->parts.targets.find(flow.target);
  const bool isAlive = target != nullptr &&
                       target->incarnation == flow.targetIncarnation &&
                       (target->state == Target::State::serving ||
                        target->state == Target::State::draining);
  const auto services =
    this->parts.routes.servicesSince(flow.route, flow.openedAt);
  if (!isAlive || services.contains("")) {
    return;
  }
  this->parts.guarantees.count("resets_of_living");
  if (target->stability.isStable()) {
    this->parts.guarantees.reportViolation(
      "no_reset_of_living", this->describe(flow, flow.target, instance));
  }
}

}
