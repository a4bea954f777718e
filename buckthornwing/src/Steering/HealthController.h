#ifndef BUCKTHORNWING_HEALTH_CONTROLLER_H
#define BUCKTHORNWING_HEALTH_CONTROLLER_H

#include "TagBlackboard.h"

#include <vector>

namespace buckthornwing {

/// \brief Detects targets that stopped answering.
///
/// A target becomes suspected when a caller retransmits while no flow of the
/// target makes progress. It becomes dead only when probes of it fail.
///
/// A probe that times out counts as failed only after a control probe, which
/// is sent later to another target, has been answered. Congestion of this
/// instance's own link would have delayed the control probe as well. A lost
/// packet, a busy target or a congested link is therefore not mistaken for a
/// crash.
class HealthController
{
public:
  explicit HealthController(TagBlackboard& board)
    : board(board)
  {
  }

  /// \brief Handles the retransmission of data or of an opening by a caller.
  /// \param sentAt time at which the data or opening was first sent
  void onRetransmission(TargetSlot target, MilliTime sentAt, MilliTime now);

  /// \brief Handles progress of a flow or an answered probe; the target becomes
  /// trusted.
  void onProgress(TargetSlot target, MilliTime now);

  /// \brief Handles the report of a peer in this instance's zone that a target
  /// is dead.
  void onPeerFoundDead(TargetSlot target, MilliTime now);

  /// \brief Handles a packet for a target that left the registry.
  void onPacketForRemovedTarget(TargetSlot target, MilliTime now);

  /// \brief Handles a packet of a flow that was not known here when its target
  /// was found dead.
  void onPacketForDeadTarget(TargetSlot target, MilliTime now);

  /// \brief Handles a connection that a target's address accepted after the
  /// probe was reported as ProbeResult::silent.
  ///
  /// The timeouts counted so far are discarded. The target does not become
  /// trusted, because another target may have the address now.
  void onLateConnection(TargetSlot target, MilliTime now);

  /// \brief Handles the answer to a probe that was already reported as
  /// ProbeResult::silent.
  /// \param result what the late answer says
  void onLateResult(TargetSlot target, ProbeResult result, MilliTime now);

  /// \brief Handles the result of a probe that takeProbes() returned.
  void onProbeResult(TargetSlot target, ProbeResult result, MilliTime now);

  /// \brief Requests the probes that are due; called once per kTagTickPeriod.
  void tick(MilliTime now);

  /// \returns the targets to probe now. The result of each probe is passed to
  /// onProbeResult().
  std::vector<TargetSlot> takeProbes();

  /// \returns the targets found dead since the last call, and the dead targets
  /// that the registry has reported as gone since then.
  std::vector<TargetSlot> takeDead();

private:
  /// \brief A target whose probe timed out and that waits for the result of a
  /// control probe.
  struct PendingControl
  {
    TargetSlot target = kNoTargetSlot;
    MilliTime since{}; ///< time at which its probe timed out
  };

  TagBlackboard& board;
  std::vector<TargetSlot> probes;
  std::vector<TargetSlot> newlyDead;
  std::vector<PendingControl> pendingControls;
  /// Target of the control probe in progress.
  TargetSlot controlTarget = kNoTargetSlot;

  void markSuspected(TargetSlot target, MilliTime now, const char* cause);
  void onAnswer(TargetSlot target, MilliTime now);
  void markTrusted(TargetSlot target, MilliTime now);
  /// \param probedAt start of the probe that found it dead
  void markDead(TargetSlot target, MilliTime probedAt, MilliTime now);
  bool wasSilentControl(TargetSlot slot, MilliTime now) const;
  bool isEligibleAsControl(TargetSlot slot, TargetSlot target) const;
  /// \returns whether a target's zone is evacuated and no flow of this instance
  /// is open there, so that it does not matter whether it is suspected.
  bool isUnused(TargetSlot slot) const;
  TargetSlot chooseControl(TargetSlot target, MilliTime now) const;
  void requestControlProbe(TargetSlot target, MilliTime now);
  void startControlProbe(TargetSlot target, MilliTime now);
  /// \brief Discards the failed probes of a target and schedules another probe.
  void discardFailedProbes(TargetSlot target, MilliTime now);
  void onControlResult(TargetSlot control, ProbeResult result, MilliTime now);
  /// \brief Handles a timed-out probe whose control probe was answered: the
  /// target becomes dead or is probed again.
  void onConfirmedTimeout(TargetSlot target, MilliTime now);
  void onFailedProbe(TargetSlot target, ProbeResult result, MilliTime now);
  /// \returns whether a probe that was answered shows that the target's process
  /// has ended. A draining one may refuse connections while it serves its
  /// flows, until its registration is removed.
  bool provesEnd(TargetSlot target, ProbeResult result) const;
  /// \brief Requests a probe unless one was sent a short time ago.
  void requestProbeIfDue(TargetSlot target, MilliTime now);
  void probeIfDue(TargetSlot slot, MilliTime now);
  void requestProbe(TargetSlot target, MilliTime now);
  void reportProbe(TargetSlot target, const std::string& found, MilliTime now);
  void report(TagEventKind kind,
              TargetSlot target,
              MilliTime now,
              const char* cause);
};

}

#endif
