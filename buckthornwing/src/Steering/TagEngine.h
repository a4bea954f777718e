#ifndef BUCKTHORNWING_TAG_ENGINE_H
#define BUCKTHORNWING_TAG_ENGINE_H

#include "../Fleet/FleetController.h"
#include "RescueController.h"
#include "SteeringController.h"
#include "TagBoard.h"
#include "ViewController.h"

namespace buckthornwing {

/// \brief Time between two calls of TagEngine::tick().
inline constexpr MilliDuration kTagTickPeriod{ 100 };

/// \brief One instance before a tagging fabric: typed inputs and outputs over
/// one blackboard, without I/O.
class TagEngine
{
public:
  explicit TagEngine(TagSettings settings);

  SteeringDecision onPacket(const CallerPacket& packet, MilliTime now);

  /// \brief Decides a packet again that was held; held on, it is not counted.
  SteeringDecision onHeldPacket(const CallerPacket& packet, MilliTime now);

  /// \brief Takes a full list of targets from the platform.
  /// \param readAt no later than when the platform read it
  void onTargetListing(std::uint64_t asOf,
                       std::span<const TargetChange> listed,
                       MilliTime readAt,
                       MilliTime now);
  /// \brief Takes what changed since the last call, maybe nothing.
  /// \param readAt no later than when the platform read it
  void onTargetChanges(std::uint64_t asOf,
                       std::span<const TargetChange> changes,
                       MilliTime readAt,
                       MilliTime now);
  /// \brief Takes a configuration from the platform.
  void onRoutes(RouteTable table, MilliTime now);
  /// \brief Notes that the platform has no newer routes.
  void onRoutesConfirmed(std::uint64_t asOf, MilliTime now);
  /// \brief Notes that the platform did not answer.
  void onStoreFailure(const std::string& cause, MilliTime now);

  /// \brief Notes the size of an answer of the platform about some keys, and
  /// the time from its first byte to its last.
  void onStoreAnswer(std::string_view keys,
                     std::size_t bytes,
                     MilliDuration took);

  void onProbeResult(TargetSlot target, ProbeResult result, MilliTime now);
  /// \brief Notes that after `silent` something at a target's address took the
  /// connection.
  void onLateConnection(TargetSlot target, MilliTime now);
  /// \brief Notes what the answer to a probe said that came after its result.
  void onLateResult(TargetSlot target, ProbeResult result, MilliTime now);
  void onFleetMessage(const FleetMessage& message, MilliTime now);

  void tick(MilliTime now);
  void requestStop();

  /// \returns whether the fabric may hand over packets.
  bool ready() const { return this->state.hasView() && !this->state.stopping; }

  const TagBoard& board() const { return this->state; }
  bool shouldReadStore(MilliTime now) const
  {
    return this->fleet.shouldReadStore(now);
  }
  /// \returns the path of a health request to a target; "/" if no service
  /// that selects it names one.
  std::string healthPathOf(TargetSlot target) const;
  /// \returns whether to list the targets at once: flows wait to know whether
  /// their target has left.
  bool wantsListing(MilliTime now) { return this->steering.wantsListing(now); }
  const FleetMembers& members() const { return this->fleet.fleet(); }

  std::vector<TagEvent> takeEvents();
  std::vector<OutgoingFleetMessage> takeOutgoing();
  /// \returns targets to probe; each is answered by onProbeResult().
  std::vector<TargetSlot> takeProbes() { return this->health.takeProbes(); }
  /// \returns flows whose callers are to be told by a reset, with the target
  /// that they were freed from.
  std::vector<RescuedFlow> takeRescued();

private:
  TagBoard state;
  ViewController view;
  HealthController health;
  SteeringController steering;
  RescueController rescue;
  FleetController fleet;
  MilliTime lastTick{};
  MilliTime lastSweep{};
  bool storeLost = false;

  void noteContact();
};

}

#endif
