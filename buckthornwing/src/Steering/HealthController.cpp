#include "HealthController.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornwing {
namespace internal {

/// \brief One silent probe says little; a refused one says all.
constexpr std::uint8_t kSilentProbes = 2;
constexpr MilliDuration kDeadProbePeriod{ 1000 };
/// \brief After trouble of the own link a suspected target is asked again.
constexpr MilliDuration kRetryPause{ 250 };
/// \brief A target that was silent as a control is the last choice for so long.
constexpr MilliDuration kSilentControlPause{ 2000 };
/// \brief What a peer found keeps new flows away for so long.
constexpr MilliDuration kPeerVerdictLife{ 1500 };
/// \brief A verdict counts only if this process ran all the time.
constexpr MilliDuration kMostTickGap{ 400 };

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
  this->board.events.push_back({ kind,
                                 this->board.registry.at(target).record.id,
                                 this->board.registry.at(target).revision,
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
      this->board.registry.at(target).revision,
      (now - this->board.healthFor(target).probedAt).ms,
      found });
}

void
HealthController::onRepeated(TargetSlot target, MilliTime sentAt, MilliTime now)
{
  const bool answeredSince = this->board.lastProgress(target) > sentAt;
  if (!answeredSince) {
    this->suspect(target, now, "a caller sent data again");
  }
}

void
HealthController::onProgress(TargetSlot target, MilliTime now)
{
  if (this->board.healthFor(target).state != HealthState::trusted) {
    this->trust(target, now);
  }
}

void
HealthController::onPeerFoundDead(TargetSlot target, MilliTime now)
{
  // Only whoever has flows there needs to know for sure.
  const bool hasFlows = this->board.observer.load(target).flows > 0;
  TargetHealth& health = this->board.healthFor(target);
  if (hasFlows) {
    this->suspect(target, now, "a peer found it dead");
  } else if (health.state == HealthState::trusted) {
    health.avoidUntil = now + internal::kPeerVerdictLife;
  }
}

void
HealthController::onPacketForGone(TargetSlot target, MilliTime now)
{
  this->suspect(target, now, "it left the registry");
}

void
HealthController::suspect(TargetSlot target, MilliTime now, const char* cause)
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
  this->askForProbe(target, now);
}

void
HealthController::trust(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  health.state = HealthState::trusted;
  health.hasLeft = false;
  health.failedProbes = 0;
  health.changedAt = now;
  this->report(TagEventKind::targetTrusted, target, now, "it answers");
}

void
HealthController::markDead(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  if (health.state == HealthState::dead) {
    return;
  }
  health.state = HealthState::dead;
  health.changedAt = now;
  this->newlyDead.push_back(target);
  this->report(TagEventKind::targetDead, target, now, "probes failed");
}

void
HealthController::askForProbe(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  if (health.probing || !this->board.settings.policy.probes) {
    return;
  }
  health.probing = true;
  health.probedAt = now;
  health.nextProbeAt = now + internal::kDeadProbePeriod;
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
  const bool isControl = target == this->control;
  this->reportProbe(target,
                    std::string(isControl ? "control: " : "") +
                      probeResultName(result),
                    now);
  if (result == ProbeResult::alive) {
    this->onAnswer(target, now);
  } else if (this->board.lastTickGap <= internal::kMostTickGap &&
             health.state == HealthState::suspected) {
    this->onFailedProbe(target, result, now);
  }
  if (isControl) {
    this->control = kNoTargetSlot;
    this->onControlResult(target, result, now);
  }
}

void
HealthController::onLateConnection(TargetSlot target, MilliTime now)
{
  if (this->board.healthState(target) == HealthState::suspected) {
    this->startOver(target, now);
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
    this->markDead(target, now);
  } else {
    this->suspect(target, now, "a late answer denied it");
  }
}

void
HealthController::onAnswer(TargetSlot target, MilliTime now)
{
  this->board.observer.loadFor(target).progressAt = now;
  this->onProgress(target, now);
}

void
HealthController::onFailedProbe(TargetSlot target,
                                ProbeResult result,
                                MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  if (result != ProbeResult::silent) {
    this->markDead(target, now);
    return;
  }
  ++health.failedProbes;
  this->askForControl(target, now);
}

bool
HealthController::wasSilentControl(TargetSlot slot, MilliTime now) const
{
  return slot < this->board.health.size() &&
         now < this->board.health[slot].otherControlsUntil;
}

bool
HealthController::isFitAsControl(TargetSlot slot, TargetSlot target) const
{
  const bool isProbing =
    slot < this->board.health.size() && this->board.health[slot].probing;
  return slot != target && !isProbing &&
         this->board.registry.at(slot).takesNewFlows() &&
         this->board.healthState(slot) == HealthState::trusted;
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
    const bool isBetter = this->isFitAsControl(slot, target) &&
                          (best == kNoTargetSlot || rank(slot) > rank(best));
    if (isBetter) {
      best = slot;
    }
  }
  return best;
}

void
HealthController::askForControl(TargetSlot target, MilliTime now)
{
  if (this->control == kNoTargetSlot) {
    this->startControl(target, now);
  }
  if (this->control == kNoTargetSlot) {
    // Without comparison silence proves nothing.
    this->startOver(target, now);
    return;
  }
  this->awaitingControl.push_back({ target, now });
}

void
HealthController::startControl(TargetSlot target, MilliTime now)
{
  this->control = this->chooseControl(target, now);
  if (this->control != kNoTargetSlot) {
    this->askForProbe(this->control, now);
  }
}

void
HealthController::startOver(TargetSlot target, MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  health.failedProbes = 0;
  health.nextProbeAt = now + internal::kRetryPause;
}

void
HealthController::onControlResult(TargetSlot answered,
                                  ProbeResult result,
                                  MilliTime now)
{
  const MilliTime askedAt = this->board.healthFor(answered).probedAt;
  if (result != ProbeResult::alive) {
    // It may be dead itself, so that the next one is to be another.
    this->board.healthFor(answered).otherControlsUntil =
      now + internal::kSilentControlPause;
  }
  for (const AwaitedControl& each : std::exchange(this->awaitingControl, {})) {
    if (this->board.healthState(each.target) != HealthState::suspected) {
      continue;
    }
    if (result != ProbeResult::alive) {
      // The own link is in trouble.
      this->startOver(each.target, now);
    } else if (each.since > askedAt) {
      // It was asked too soon to tell.
      this->askForControl(each.target, now);
    } else {
      this->onControlledSilence(each.target, now);
    }
  }
}

void
HealthController::onControlledSilence(TargetSlot target, MilliTime now)
{
  const TargetHealth& health = this->board.healthFor(target);
  if (this->board.lastProgress(target) > health.changedAt) {
    // It answers other instances.
    this->startOver(target, now);
  } else if (health.failedProbes >= internal::kSilentProbes) {
    this->markDead(target, now);
  } else {
    this->askForProbe(target, now);
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
    const bool isDue = health.state != HealthState::trusted &&
                       !health.probing && now >= health.nextProbeAt;
    if (isDue && this->board.registry.at(slot).used &&
        this->board.registry.at(slot).presence != TargetPresence::gone) {
      this->askForProbe(slot, now);
    }
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
