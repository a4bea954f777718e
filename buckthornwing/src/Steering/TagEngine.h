#ifndef BUCKTHORNWING_TAG_ENGINE_H
#define BUCKTHORNWING_TAG_ENGINE_H

#include "../Fleet/FleetController.h"
#include "FlowResetController.h"
#include "SlowStartController.h"
#include "SteeringController.h"
#include "TagBlackboard.h"
#include "ViewController.h"

namespace buckthornwing {

/// \brief Time between two calls of TagEngine::tick().
inline constexpr MilliDuration kTagTickPeriod{ 100 };

/// \brief Logic of one instance behind a tagging fabric, without I/O and
/// clocks.
///
/// The caller passes in packets, registry entries, peer messages, probe results
/// and the time, and takes the resulting messages, probes, resets and events.
class TagEngine
{
public:
  explicit TagEngine(TagSettings settings);

  /// \returns what to do with a packet of a caller.
  SteeringDecision onPacket(const CallerPacket& packet, MilliTime now);

  /// \brief Decides a held packet again. The decision is counted unless the
  /// packet stays held.
  SteeringDecision onHeldPacket(const CallerPacket& packet, MilliTime now);

  /// \returns what would be done with the first packet of a flow now. Changes
  /// nothing.
  SteeringDecision previewOpening(const FlowKey& flow, MilliTime now) const
  {
    return this->steering.preview(flow, now);
  }

  /// \brief Applies a full list of targets from the platform.
  /// \param readAt a time not later than the platform's read of the list
  void onTargetListing(const TargetListing& listing,
                       MilliTime readAt,
                       MilliTime now);
  /// \brief Applies changes of targets from the platform. An empty list
  /// confirms that the present targets are up to date.
  /// \param readAt a time not later than the platform's read of the changes
  /// \returns whether the changes continue from the present position; if not,
  /// nothing was changed, and a full list is needed
  bool onTargetChanges(const TargetDelta& delta,
                       MilliTime readAt,
                       MilliTime now);
  /// \brief Applies the configurations of one response of the platform, whose
  /// evacuations have been applied. Without configurations, the response
  /// confirms that the present routes are current.
  /// \param readAt a time not later than the platform's read of the routes
  void onRoutes(PublishedRoutes published, MilliTime readAt, MilliTime now);
  /// \brief Applies the full list of evacuations from the platform.
  void onEvacuationListing(const EvacuationListing& listing, MilliTime now);
  /// \brief Applies changes of evacuations from the platform.
  /// \returns whether the changes continue from the present position; if not,
  /// nothing was changed, and a full list is needed
  bool onEvacuationChanges(const EvacuationDelta& delta, MilliTime now);
  /// \brief Reports an entry of the operator that is not understood; each key
  /// is logged and counted once.
  void onIgnoredEntry(std::string_view key) { this->view.onIgnoredEntry(key); }
  /// \brief Handles a failed request to the platform.
  /// \param cause error message for the log
  void onStoreFailure(const std::string& cause, MilliTime now);

  /// \brief Handles the era that an answer of the platform's store names.
  /// \param named nothing if the answer names none
  /// \returns the era of the answer, which is the highest known one if it names
  /// none; nothing if a later era is known, so the answer is outdated
  std::optional<StoreEra> onStoreEra(std::optional<StoreEra> named);

  /// \brief Reports an answer of the platform's store; large ones are logged.
  /// \param keys description of the keys that were read
  /// \param bytes size of the answer
  /// \param took time between the first and the last byte of the answer
  void onStoreResponse(std::string_view keys,
                       std::size_t bytes,
                       MilliDuration took);

  /// \brief Handles the result of a probe that takeProbes() returned.
  void onProbeResult(TargetSlot target, ProbeResult result, MilliTime now);
  /// \brief Handles a connection that a target's address accepted after the
  /// probe was reported as ProbeResult::silent.
  void onLateConnection(TargetSlot target, MilliTime now);
  /// \brief Handles the answer to a probe that was already reported as
  /// ProbeResult::silent.
  /// \param result what the late answer says
  void onLateResult(TargetSlot target, ProbeResult result, MilliTime now);
  /// \brief Handles a message of a peer.
  void onFleetMessage(const FleetMessage& message, MilliTime now);

  /// \brief Does the periodic work; called once per kTagTickPeriod.
  void tick(MilliTime now);
  /// \brief Makes the instance not ready and tells the peers that it stops.
  void requestStop();

  /// \returns whether the fabric may send packets to this instance.
  bool ready() const { return this->state.hasView() && !this->state.stopping; }

  const TagBlackboard& board() const { return this->state; }
  /// \returns whether this instance should read the store itself now.
  bool shouldReadStore(MilliTime now) const
  {
    return this->fleet.shouldReadStore(now);
  }
  /// \returns the HTTP path for health probes of a target, or "/" if no service
  /// that selects the target specifies one.
  std::string healthPathOf(TargetSlot target) const;
  /// \returns whether the caller must read the full list of targets now,
  /// because held packets have tags of unknown targets.
  bool needsTargetListing(MilliTime now)
  {
    return this->steering.needsTargetListing(now);
  }
  const AdmissionController& admissionControl() const
  {
    return this->admission;
  }
  const FleetMembers& members() const { return this->fleet.fleet(); }

  /// \returns the events to log since the last call.
  std::vector<TagEvent> takeEvents();
  /// \returns the messages to send to peers.
  std::vector<OutgoingFleetMessage> takeOutgoing();
  /// \returns the targets to probe. The result of each probe is passed to
  /// onProbeResult().
  std::vector<TargetSlot> takeProbes() { return this->health.takeProbes(); }
  /// \returns the flows of dead targets whose callers must be sent a reset.
  std::vector<FlowToReset> takeFlowsToReset();

private:
  TagBlackboard state;
  ViewController view;
  HealthController health;
  AdmissionController admission;
  SteeringController steering;
  FlowResetController flowReset;
  FleetController fleet;
  SlowStartController slowStart;
  MilliTime lastTick{};
  MilliTime lastSweep{};
  bool storeLost = false; ///< the last request to the platform failed

  void onStoreContact();
  void onTargetsConfirmed(MilliTime readAt, MilliTime now);
  void onRoutesConfirmed(const StorePosition& asOf,
                         MilliTime readAt,
                         MilliTime now);
};

}

#endif
