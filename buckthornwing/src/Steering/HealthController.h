#ifndef BUCKTHORNWING_HEALTH_CONTROLLER_H
#define BUCKTHORNWING_HEALTH_CONTROLLER_H

#include "TagBoard.h"

#include <vector>

namespace buckthornwing {

/// \brief Finds targets that stopped answering, and the flows to free from
/// them.
///
/// A request that a caller sends again, while no flow of its target makes
/// progress, raises suspicion; only probes that fail make a target dead. A
/// probe that nothing answers counts only after another target has answered
/// one. So neither a lost packet, nor a busy target, nor trouble of this
/// instance's own link is taken for a crash.
class HealthController
{
public:
  explicit HealthController(TagBoard& board)
    : board(board)
  {
  }

  /// \brief Notes that a caller sent data or an opening again.
  /// \param sentAt when it was sent first
  void onRepeated(TargetSlot target, MilliTime sentAt, MilliTime now);

  /// \brief Notes a sign of life.
  void onProgress(TargetSlot target, MilliTime now);

  /// \brief Notes that a peer in the own zone found a target dead.
  void onPeerFoundDead(TargetSlot target, MilliTime now);

  /// \brief Notes a packet for a target that left the registry.
  void onPacketForGone(TargetSlot target, MilliTime now);

  void onProbeResult(TargetSlot target, ProbeResult result, MilliTime now);

  /// \brief Asks for probes that are due.
  void tick(MilliTime now);

  /// \returns targets to probe now; each is answered by onProbeResult().
  std::vector<TargetSlot> takeProbes();

  /// \returns targets found dead since the last call.
  std::vector<TargetSlot> takeDead();

private:
  TagBoard& board;
  std::vector<TargetSlot> probes;
  std::vector<TargetSlot> newlyDead;
  std::vector<TargetSlot> awaitingControl;
  TargetSlot control = kNoTargetSlot; ///< being probed for those

  void suspect(TargetSlot target, MilliTime now, const char* cause);
  void trust(TargetSlot target, MilliTime now);
  void markDead(TargetSlot target, MilliTime now);
  TargetSlot chooseControl(TargetSlot target) const;
  void askForControl(TargetSlot target, MilliTime now);
  void onControlResult(bool isAlive, MilliTime now);
  void onFailedProbe(TargetSlot target, ProbeResult result, MilliTime now);
  void askForProbe(TargetSlot target, MilliTime now);
  void reportProbe(TargetSlot target, ProbeResult result, MilliTime now);
  void report(TagEventKind kind,
              TargetSlot target,
              MilliTime now,
              const char* cause);
};

}

#endif
