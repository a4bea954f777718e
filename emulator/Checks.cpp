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
  const bool doBoundsApply =
    instance.stability.isStable() && this->parts.storeStability.isStable() &&
    bootTime() - instance.startedAt >= Bounds::kSettlingTime;
  this->parts.guarantees.count(doBoundsApply ? "checks_with_bounds"
                                             : "checks_without_bounds");
  return doBoundsApply;
}

std::string
Checks::describe(const CallerFlow& flow,
                 std::uint64_t target,
                 std::size_t instance) const
{
  return formatFlowKey(flow.key) + " target " + std::to_string(target) +
         " instance " + std::to_string(instance);
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
  const bool mustKnowDraining =
    target.drainingSince &&
    bootTime() - *target.drainingSince >
      Bounds::kMaxDrainDelay + Bounds::kMaxEmulatorDelay;
  if (mustKnowDraining && this->mustMeetBounds(*instance)) {
    this->parts.guarantees.reportViolation(
      "no_new_flow_at_draining",
      this->describe(*flow, target.number, *instance));
  }
}

void
Checks::checkService(const CallerFlow& flow,
                     MilliTime sentAt,
                     const Target& target,
                     std::size_t instance)
{
  const auto allServices =
    this->parts.routes.servicesSince(flow.route, MilliTime{});
  const MilliTime from =
    sentAt + MilliDuration{ -Bounds::kMaxRouteChangeDelay.ms -
                            Bounds::kMaxEmulatorDelay.ms };
  const auto recent = this->parts.routes.servicesSince(flow.route, from);
  const bool doBoundsApply = this->mustMeetBounds(instance);
  if (!allServices.contains(target.service) ||
      (doBoundsApply && !recent.contains(target.service))) {
    this->parts.guarantees.reportViolation(
      "selection",
      this->describe(flow, target.number, instance) + " of " + target.service);
  }
}

void
Checks::checkNoVersionRegression(const CallerFlow& flow,
                                 MilliTime sentAt,
                                 const Target& target,
                                 std::size_t instance)
{
  const auto versions =
    this->parts.routes.versionsOf(flow.route, target.service);
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
  const auto recent = this->parts.routes.servicesSince(
    flow.route,
    sentAt + MilliDuration{ -Bounds::kMaxRouteChangeDelay.ms -
                            Bounds::kMaxEmulatorDelay.ms });
  const bool hadRoute = !recent.contains("");
  bool canServe = true;
  for (const std::string& service : recent) {
    canServe = canServe && this->parts.targets.canServe(service);
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
