#include "HealthController.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornwing {
namespace internal {

/// \brief Consecutive timed-out probes after which a target is dead. See
/// HealthController::provesEnd() for other failures.
constexpr std::uint8_t kMinSilentProbes = 2;
/// \brief Time between probes of a target that is not trusted.
constexpr MilliDuration kUntrustedProbePeriod{ 1000 };
/// \brief Delay of the next probe of a suspected target whose failed probes
/// were discarded, for example because this instance's link was
/// congested.
constexpr MilliDuration kProbeRetryDelay{ 250 };
/// \brief Time during which a target that did not answer a control probe is
/// used for another one only if there is no other choice.
constexpr MilliDuration kControlAvoidanceTime{ 2000 };
/// \brief Time during which new flows avoid a target that a peer reported as
/// dead.
constexpr MilliDuration kPeerReportLifetime{ 1500 };
/// \brief Longest gap between two ticks after which a failed probe counts. In a
/// longer gap this process was not running, so the result proves nothing.
constexpr MilliDuration kMaxTickGap{ 400 };

}

void
HealthController::report(TagEventKind kind,
                         TargetSlot target,
                         MilliTime now,
                         const char* cause)
{
  const MilliTime progress =
    std::max(this->board.lastProgress(target),
             this->board.registry.at(target).changedAt);
  this->board.events.push_back(
    { kind,
      this->board.registry.at(target).record.id,
      this->board.registry.at(target).version.revision,
      (now - progress).ms,
      cause });
}

void
HealthController::reportProbe(TargetSlot target,
                              const std::string& found,
                              MilliTime now)
{
  this->board.events.push_back(
    { TagEventKind::targetProbed,
      this->board.registry.at(target).record.id,
      this->board.registry.at(target).version.revision,
      (now - this->board.healthFor(target).probedAt).ms,
      found });
}

void
HealthController::onRetransmission(TargetSlot target,
                                   MilliTime sentAt,
                                   MilliTime now)
{
  const bool answeredSince = this->board.lastProgress(target) > sentAt;
  if (!answeredSince) {
    this->markSuspected(target, now, "a caller retransmitted");
  }
}

void
HealthController::onProgress(TargetSlot target, MilliTime now)
{
  if (this->board.healthFor(target).state != HealthState::trusted) {
    this->markTrusted(target, now);
  }
}

void
HealthController::onPeerFoundDead(TargetSlot target, MilliTime now)
{
  // A probe by this instance is needed only if it has flows at the target.
  const bool hasFlows = this->board.observer.load(target).flows > 0;
  TargetHealth& health = this->board.healthFor(target);
  if (hasFlows) {
    this->markSuspected(target, now, "a peer found it dead");
  } else if (health.state == HealthState::trusted) {
    health.reportedDeadUntil = now + internal::kPeerReportLifetime;
  }
}

void
HealthController::onPacketForRemovedTarget(TargetSlot target, MilliTime now)
{
  this->markSuspected(target, now, "target left the registry");
  if (this->board.healthState(target) == HealthState::suspected) {
    this->requestProbeIfDue(target, now);
  }
}

void
HealthController::onPacketForDeadTarget(TargetSlot target, MilliTime now)
{
  this->requestProbeIfDue(target, now);
}

void
HealthController::requestProbeIfDue(TargetSlot target, MilliTime now)
{
  if (now >= this->board.healthFor(target).nextProbeAt) {
    this->requestProbe(target, now);
  }
}

void
HealthController::markSuspected(TargetSlot target,
                                MilliTime now,
                                const char* cause)
{
  TargetHealth& health = this->board.healthFor(target);
  if (health.state != HealthState::trusted ||
      !this->board.settings.policy.findsSilent) {
    return;
  }
  health.state = HealthState::suspected;
  health.failedProbes = 0;
  health.changedAt = now;
  this->report(TagEventKind::targetSuspected, target, now, cause);
  this->requestProbe(target, now);
}

void
HealthController::markTrusted(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  health.state = HealthState::trusted;
  health.hasLeft = false;
  health.failedProbes = 0;
  health.changedAt = now;
  this->report(TagEventKind::targetTrusted, target, now, "it answers");
}

void
HealthController::markDead(TargetSlot target, MilliTime probedAt, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  health.foundDeadAt = std::max(health.foundDeadAt, probedAt);
  if (health.state == HealthState::dead) {
    return;
  }
  health.state = HealthState::dead;
  health.changedAt = now;
  this->newlyDead.push_back(target);
  this->report(TagEventKind::targetDead, target, now, "probes failed");
}

void
HealthController::requestProbe(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  if (health.probing || !this->board.settings.policy.probes) {
    return;
  }
  health.probing = true;
  health.probedAt = now;
  health.nextProbeAt = now + internal::kUntrustedProbePeriod;
  ++this->board.counters.probes;
  this->probes.push_back(target);
}

void
HealthController::onProbeResult(TargetSlot target,
                                ProbeResult result,
                                MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  health.probing = false;
  const bool isControl = target == this->controlTarget;
  this->reportProbe(target,
                    std::string(isControl ? "control: " : "") +
                      probeResultName(result),
                    now);
  if (result == ProbeResult::alive) {
    this->onAnswer(target, now);
  } else if (this->board.lastTickGap <= internal::kMaxTickGap) {
    this->onFailedProbe(target, result, now);
  }
  if (isControl) {
    this->controlTarget = kNoTargetSlot;
    this->onControlResult(target, result, now);
  }
}

void
HealthController::onLateConnection(TargetSlot target, MilliTime now)
{
  if (this->board.healthState(target) == HealthState::suspected) {
    this->discardFailedProbes(target, now);
  }
}

void
HealthController::onLateResult(TargetSlot target,
                               ProbeResult result,
                               MilliTime now)
{
  this->reportProbe(
    target, std::string("late: ") + probeResultName(result), now);
  if (result == ProbeResult::alive) {
    this->onAnswer(target, now);
  } else if (this->board.healthState(target) == HealthState::suspected) {
    const MilliDuration age = kProbeTimeout + kLateResponseTime;
    if (this->provesEnd(target, result)) {
      this->markDead(target, now - age, now);
    }
  } else {
    this->markSuspected(target, now, "a late probe answer reported a failure");
  }
}

void
HealthController::onAnswer(TargetSlot target, MilliTime now)
{
  TargetLoad& load = this->board.observer.mutableLoad(target);
  load.progressAt = now;
  load.hasAnswered = true;
  this->onProgress(target, now);
}

bool
HealthController::provesEnd(TargetSlot target, ProbeResult result) const
{
  const KnownTarget& known = this->board.registry.at(target);
  const bool isDraining = known.presence != TargetPresence::gone &&
                          known.record.state == TargetState::draining;
  return result == ProbeResult::otherTarget ||
         (result == ProbeResult::refused && !isDraining);
}

void
HealthController::onFailedProbe(TargetSlot target,
                                ProbeResult result,
                                MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  if (health.state == HealthState::trusted) {
    return;
  }
  if (result != ProbeResult::silent) {
    if (this->provesEnd(target, result)) {
      this->markDead(target, health.probedAt, now);
    }
    return;
  }
  if (health.state == HealthState::dead) {
    this->markDead(target, health.probedAt, now);
    return;
  }
  ++health.failedProbes;
  this->requestControlProbe(target, now);
}

bool
HealthController::wasSilentControl(TargetSlot slot, MilliTime now) const
{
  return slot < this->board.health.size() &&
         now < this->board.health[slot].avoidAsControlUntil;
}

bool
HealthController::isEligibleAsControl(TargetSlot slot, TargetSlot target) const
{
  const bool isProbing =
    slot < this->board.health.size() && this->board.health[slot].probing;
  return slot != target && !isProbing && !this->isUnused(slot) &&
         this->board.registry.at(slot).takesNewFlows() &&
         this->board.healthState(slot) == HealthState::trusted;
}

bool
HealthController::isUnused(TargetSlot slot) const
{
  return this->board.isEvacuated(slot) &&
         this->board.observer.load(slot).flows == 0;
}

TargetSlot
HealthController::chooseControl(TargetSlot target, MilliTime now) const
{
  const auto rank = [this, now](TargetSlot slot) {
    const bool isNear =
      this->board.registry.at(slot).record.zone == this->board.settings.zone;
    return std::tuple(!this->wasSilentControl(slot, now),
                      isNear,
                      this->board.lastProgress(slot).ms);
  };
  TargetSlot best = kNoTargetSlot;
  for (TargetSlot slot = 0; slot < this->board.registry.targets().size();
       ++slot) {
    const bool isBetter = this->isEligibleAsControl(slot, target) &&
                          (best == kNoTargetSlot || rank(slot) > rank(best));
    if (isBetter) {
      best = slot;
    }
  }
  return best;
}

void
HealthController::requestControlProbe(TargetSlot target, MilliTime now)
{
  if (this->controlTarget == kNoTargetSlot) {
    this->startControlProbe(target, now);
  }
  if (this->controlTarget == kNoTargetSlot) {
    // Without a control probe a timeout is inconclusive.
    this->discardFailedProbes(target, now);
    return;
  }
  this->pendingControls.push_back({ target, now });
}

void
HealthController::startControlProbe(TargetSlot target, MilliTime now)
{
  this->controlTarget = this->chooseControl(target, now);
  if (this->controlTarget != kNoTargetSlot) {
    this->requestProbe(this->controlTarget, now);
  }
}

void
HealthController::discardFailedProbes(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  health.failedProbes = 0;
  health.nextProbeAt = now + internal::kProbeRetryDelay;
}

void
HealthController::onControlResult(TargetSlot control,
                                  ProbeResult result,
                                  MilliTime now)
{
  const MilliTime controlSentAt = this->board.healthFor(control).probedAt;
  if (result != ProbeResult::alive) {
    // The control target may be dead itself, so another one is used next.
    this->board.healthFor(control).avoidAsControlUntil =
      now + internal::kControlAvoidanceTime;
  }
  for (const PendingControl& each : std::exchange(this->pendingControls, {})) {
    if (this->board.healthState(each.target) != HealthState::suspected) {
      continue;
    }
    if (result != ProbeResult::alive) {
      // This instance's link may be congested or down.
      this->discardFailedProbes(each.target, now);
    } else if (each.since > controlSentAt) {
      // The control probe was sent before this target's probe timed out.
      this->requestControlProbe(each.target, now);
    } else {
      this->onConfirmedTimeout(each.target, now);
    }
  }
}

void
HealthController::onConfirmedTimeout(TargetSlot target, MilliTime now)
{
  const TargetHealth& health = this->board.healthFor(target);
  if (this->board.lastProgress(target) > health.changedAt) {
    // The target has made progress since it was suspected, here or at a peer.
    this->discardFailedProbes(target, now);
  } else if (health.failedProbes >= internal::kMinSilentProbes) {
    this->markDead(target, health.probedAt, now);
  } else {
    this->requestProbe(target, now);
  }
}

void
HealthController::tick(MilliTime now)
{
  for (TargetSlot slot = 0; slot < this->board.health.size(); ++slot) {
    TargetHealth& health = this->board.health[slot];
    if (health.state == HealthState::dead && !health.hasLeft &&
        this->board.registry.at(slot).presence == TargetPresence::gone) {
      health.hasLeft = true;
      this->newlyDead.push_back(slot);
    }
    this->probeIfDue(slot, now);
  }
}

void
HealthController::probeIfDue(TargetSlot slot, MilliTime now)
{
  const TargetHealth& health = this->board.health[slot];
  const KnownTarget& target = this->board.registry.at(slot);
  // A dead target's flows are reset, and may come from other instances, so it
  // is probed in any case.
  const bool isWanted =
    health.state == HealthState::dead ||
    ((health.state == HealthState::suspected || target.needsAnswer()) &&
     !this->isUnused(slot));
  if (isWanted && !health.probing && now >= health.nextProbeAt && target.used &&
      target.presence != TargetPresence::gone) {
    this->requestProbe(slot, now);
  }
}

std::vector<TargetSlot>
HealthController::takeProbes()
{
  return std::exchange(this->probes, {});
}

std::vector<TargetSlot>
HealthController::takeDead()
{
  return std::exchange(this->newlyDead, {});
}

}
