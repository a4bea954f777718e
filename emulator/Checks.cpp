#include "Checks.h"

namespace buckthornwing::emulator {

Checks::Checks(World& world)
  : world(world)
{
}

bool
Checks::areBoundsInForce(std::size_t instance)
{
  const Entry& entry = this->world.entries.at(instance);
  const bool areBoundsInForce =
    entry.stability.isStable() && this->world.storeStability.isStable() &&
    bootTime() - entry.startedAt >= Bounds::kSettled;
  this->world.promises.count(areBoundsInForce ? "checks_with_bounds"
                                              : "checks_without_bounds");
  return areBoundsInForce;
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
  const auto instance = this->world.entries.indexOf(from);
  if (flow == nullptr || !instance || packet.openingCopy >= flow->openings) {
    this->world.promises.broken("packets_unchanged",
                                "an opening that nobody sent");
    return;
  }
  const MilliTime sentAt = flow->openingsAt[packet.openingCopy];
  this->checkService(*flow, sentAt, target, *instance);
  this->checkNoWayBack(*flow, sentAt, target, *instance);
  const bool drainsForLong =
    target.drainingSince && bootTime() - *target.drainingSince >
                              Bounds::kDrainSeenWithin + Bounds::kOwnDelay;
  if (drainsForLong && this->areBoundsInForce(*instance)) {
    this->world.promises.broken(
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
  const auto ever = this->world.routes.servicesSince(flow.route, MilliTime{});
  const MilliTime from =
    sentAt +
    MilliDuration{ -Bounds::kRoutesInForceWithin.ms - Bounds::kOwnDelay.ms };
  const auto lately = this->world.routes.servicesSince(flow.route, from);
  const bool isBound = this->areBoundsInForce(instance);
  if (!ever.contains(target.service) ||
      (isBound && !lately.contains(target.service))) {
    this->world.promises.broken("selection",
                                this->describe(flow, target.number, instance) +
                                  " of " + target.service);
  }
}

void
Checks::checkNoWayBack(const CallerFlow& flow,
                       MilliTime sentAt,
                       const Target& target,
                       std::size_t instance)
{
  const auto versions =
    this->world.routes.versionsOf(flow.route, target.service);
  const unsigned start = this->world.entries.at(instance).starts;
  if (versions &&
      this->shown.show({ instance, start, flow.route, *versions, sentAt },
                       bootTime())) {
    this->world.promises.broken("no_way_back",
                                this->describe(flow, target.number, instance));
  }
}

void
Checks::onPacket(const CallerPacket& packet,
                 const CallerFlow* flow,
                 std::uint64_t number)
{
  if (flow == nullptr || flow->target == 0 || number == flow->target) {
    return;
  }
  this->world.promises.broken("one_target",
                              formatFlowKey(packet.flow) + " of " +
                                std::to_string(flow->target) + " went to " +
                                std::to_string(number));
}

void
Checks::onReset(const CallerFlow& flow, const Endpoint& sender)
{
  const auto instance = this->world.entries.indexOf(sender);
  if (!instance) {
    this->world.promises.broken("resets_only", "a reset of no instance");
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
  const MilliTime sentAt = flow.openingsAt[0];
  const auto lately = this->world.routes.servicesSince(
    flow.route,
    sentAt +
      MilliDuration{ -Bounds::kRoutesInForceWithin.ms - Bounds::kOwnDelay.ms });
  const bool wasAllowed = !lately.contains("");
  bool canServe = true;
  for (const std::string& service : lately) {
    canServe = canServe && this->world.targets.canServe(service);
  }
  this->world.promises.count("refusals");
  if (wasAllowed && canServe && this->areBoundsInForce(instance)) {
    this->world.promises.broken("no_needless_refusal",
                                this->describe(flow, 0, instance));
  }
}

void
Checks::checkOpenFlowReset(const CallerFlow& flow, std::size_t instance)
{
  const Target* target = this->world.targets.find(flow.target);
  const bool lives = target != nullptr &&
                     target->incarnation == flow.targetIncarnation &&
                     (target->state == Target::State::serving ||
                      target->state == Target::State::draining);
  const auto services =
    this->world.routes.servicesSince(flow.route, flow.openAt);
  if (!lives || services.contains("")) {
    return;
  }
  this->world.promises.count("resets_of_living");
  // A fresh instance can't tell an entry that lapsed from a target that left;
  // flows whose requests may be repeated are then tried again elsewhere.
  const bool isFresh =
    bootTime() - this->world.entries.at(instance).startedAt < Bounds::kSettled;
  if (isFresh && Routes::isIdempotent(flow.route)) {
    this->world.promises.count("resets_by_fresh_instances");
    return;
  }
  if (target->stability.isStable()) {
    this->world.promises.broken("no_reset_of_living",
                                this->describe(flow, flow.target, instance));
  }
}

}
