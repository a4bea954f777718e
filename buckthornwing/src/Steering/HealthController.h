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
/// one that was sent later: whatever delays the first one's answer at this
/// instance's own link delays that one too. So neither a lost packet, nor a
/// busy target, nor a full link is taken for a crash.
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

  /// \brief Notes that after `silent` something at a target's address took the
  /// connection: silence no longer proves anything, but it may be another
  /// target.
  void onLateConnection(TargetSlot target, MilliTime now);

  /// \brief Notes what the answer to a probe said that came after its result.
  void onLateResult(TargetSlot target, ProbeResult result, MilliTime now);

  void onProbeResult(TargetSlot target, ProbeResult result, MilliTime now);

  /// \brief Asks for probes that are due.
  void tick(MilliTime now);

  /// \returns targets to probe now; each is answered by onProbeResult().
  std::vector<TargetSlot> takeProbes();

  /// \returns targets found dead since the last call.
  std::vector<TargetSlot> takeDead();

private:
  /// \brief A target that was silent, until another one answers or not.
  struct AwaitedControl
  {
    TargetSlot target = kNoTargetSlot;
    MilliTime since{}; ///< its silence
  };

  TagBoard& board;
  std::vector<TargetSlot> probes;
  std::vector<TargetSlot> newlyDead;
  std::vector<AwaitedControl> awaitingControl;
  TargetSlot control = kNoTargetSlot; ///< being probed for those

  void suspect(TargetSlot target, MilliTime now, const char* cause);
  void onAnswer(TargetSlot target, MilliTime now);
  void trust(TargetSlot target, MilliTime now);
  void markDead(TargetSlot target, MilliTime now);
  bool wasSilentControl(TargetSlot slot, MilliTime now) const;
  bool isFitAsControl(TargetSlot slot, TargetSlot target) const;
  TargetSlot chooseControl(TargetSlot target, MilliTime now) const;
  void askForControl(TargetSlot target, MilliTime now);
  void startControl(TargetSlot target, MilliTime now);
  void startOver(TargetSlot target, MilliTime now);
  void onControlResult(TargetSlot answered, ProbeResult result, MilliTime now);
  void onControlledSilence(TargetSlot target, MilliTime now);
  void onFailedProbe(TargetSlot target, ProbeResult result, MilliTime now);
  void askForProbe(TargetSlot target, MilliTime now);
  void reportProbe(TargetSlot target, const std::string& found, MilliTime now);
  void report(TagEventKind kind,
              TargetSlot target,
              MilliTime now,
              const char* cause);
};

}

#endif
