#include "HealthController.h"

#include <algorithm>
#include <utility>

namespace buckthornwing {
namespace internal {

/// \brief One silent probe says little; a refused one says all.
constexpr std::uint8_t kSilentProbes = 2;
constexpr MilliDuration kDeadProbePeriod{ 1000 };
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
                              ProbeResult result,
                              MilliTime now)
{
  const bool isControl = target == this->control;
  this->board.events.push_back(
    { TagEventKind::targetProbed,
      this->board.registry.at(target).record.id,
      this->board.registry.at(target).revision,
      (now - this->board.healthFor(target).probedAt).ms,
      std::string(isControl ? "control: " : "") + probeResultName(result) });
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
  this->reportProbe(target, result, now);
  const bool isAlive = result == ProbeResult::alive;
  if (isAlive) {
    this->board.observer.loadFor(target).progressAt = now;
    this->onProgress(target, now);
  } else if (this->board.lastTickGap <= internal::kMostTickGap &&
             health.state == HealthState::suspected) {
    this->onFailedProbe(target, result, now);
  }
  if (target == this->control) {
    this->control = kNoTargetSlot;
    this->onControlResult(isAlive, now);
  }
}

void
HealthController::onFailedProbe(TargetSlot target,
                                ProbeResult result,
                                MilliTime now)
{
  TargetHealth& health = this->board.healthFor(target);
  ++health.failedProbes;
  if (result != ProbeResult::silent) {
    this->markDead(target, now);
    return;
  }
  if (health.failedProbes == 1) {
    this->askForControl(target, now);
    return;
  }
  const bool isControlled = health.failedProbes >= internal::kSilentProbes;
  if (isControlled) {
    this->markDead(target, now);
  }
}

TargetSlot
HealthController::chooseControl(TargetSlot target) const
{
  TargetSlot best = kNoTargetSlot;
  for (TargetSlot slot = 0; slot < this->board.registry.targets().size();
       ++slot) {
    const KnownTarget& known = this->board.registry.at(slot);
    const bool isFit = slot != target && known.takesNewFlows() &&
                       known.record.zone == this->board.settings.zone &&
                       this->board.healthState(slot) == HealthState::trusted;
    const bool isBetter =
      isFit && (best == kNoTargetSlot || this->board.lastProgress(slot) >
                                           this->board.lastProgress(best));
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
    this->control = this->chooseControl(target);
    if (this->control == kNoTargetSlot) {
      // Nobody is left to compare with.
      this->askForProbe(target, now);
      return;
    }
    this->askForProbe(this->control, now);
  }
  this->awaitingControl.push_back(target);
}

void
HealthController::onControlResult(bool isAlive, MilliTime now)
{
  for (const TargetSlot target : std::exchange(this->awaitingControl, {})) {
    TargetHealth& health = this->board.healthFor(target);
    if (isAlive) {
      this->askForProbe(target, now);
    } else {
      // The own link is in trouble; start over later.
      health.failedProbes = 0;
      health.nextProbeAt = now + internal::kDeadProbePeriod;
    }
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
