#ifndef BUCKTHORNWING_ENGINE_H
#define BUCKTHORNWING_ENGINE_H

#include "../Board/Blackboard.h"
#include "../Distribution/ConfigurationController.h"
#include "../Forwarding/ForwardingController.h"
#include "../Handover/BucketStatesController.h"
#include "../Handover/FlowMaintenance.h"
#include "../Handover/OwnershipController.h"
#include "../Handover/RecordSender.h"
#include "../Load/LoadController.h"
#include "../Membership/MembershipController.h"
#include "../Membership/TrustController.h"
#include "../Placement/PlacementController.h"

#include <span>
#include <string_view>

namespace buckthornwing {

/// \brief Interval at which Engine::tick() is called.
inline constexpr MilliDuration kTickPeriod{ 100 };

/// \brief The logic of one entry instance: its controllers and the blackboard
/// that they share.
///
/// The engine reads no clock and does no I/O. Each call takes the current time.
/// After a call the host sends outbox().messages, logs outbox().events and
/// clears the outbox.
class Engine
{
public:
  /// \param incarnation number of this run; must be greater than that of each
  /// earlier run with the same id, for example the wall clock in seconds
  /// \param seed seed of the generator for all random choices
  Engine(EngineSettings settings,
         std::uint32_t incarnation,
         std::uint64_t seed,
         MilliTime now);

  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// \returns the decision on a packet that the fabric sent to this instance.
  Decision onPacket(PacketBytes packet, MilliTime now);

  /// \brief Processes a message of a peer.
  /// \returns the decision on the packet in the message, if it is a relay from
  /// a known member; std::nullopt for any other message.
  std::optional<Decision> onPeerMessage(const PeerMessage& message,
                                        MilliTime now);

  /// \brief Processes a configuration document from the platform.
  AdoptOutcome onConfiguration(std::string_view text, MilliTime now);

  /// \brief Processes an answer of the platform that there is no new document.
  void onPlatformContact(MilliTime now);

  /// \brief Processes the platform's list of instances.
  void onInstanceList(std::span<const InstanceConfig> instances);

  /// \brief Processes a target's report; unknown target ids are ignored.
  void onLoadReport(std::string_view targetId,
                    const LoadReport& report,
                    MilliTime now);

  /// \brief Runs the periodic work of all controllers; must be called every
  /// kTickPeriod.
  void tick(MilliTime now);

  /// \brief Starts a planned stop: hands all flows over, and continues to
  /// forward packets meanwhile.
  void requestStop(MilliTime now);

  /// \returns whether the process may end after requestStop(): all flows were
  /// handed over and the fabric sends no more packets, or the stop timed out.
  bool readyToStop(MilliTime now) const;

  /// \brief Tells peers that this instance has stopped and sends no more
  /// messages.
  void announceStopped(MilliTime now);

  /// \returns whether this instance should request configurations from the
  /// platform itself. Two instances of each zone do, and any instance without a
  /// recent answer of the platform.
  bool shouldWatchPlatform(MilliTime now) const;

  Outbox& outbox() { return this->board.outbox; }
  const Blackboard& blackboard() const { return this->board; }
  LifecycleState lifecycleState() const;
  const Problems& configurationProblems() const;

  /// \returns the message that relays the packet to the peer of the decision.
  PeerMessage relayMessage(const Decision& decision, PacketBytes packet) const;

private:
  Blackboard board;
  MembershipController membership;
  TrustController trust;
  ConfigurationController configuration;
  LoadController load;
  RecordSender sender;
  BucketStatesController states;
  OwnershipController ownership;
  FlowMaintenance maintenance;
  PlacementController placement;
  ForwardingController forwarding;
  MilliTime lastPacketAt{};
  MilliTime stopRequestedAt{ -1 };
  std::uint64_t announcedRevision = 0;

  void onRevisionAdopted(MilliTime now);
  void updateOwners(MilliTime now);
  void dispatch(MemberIndex from, const PeerBody& body, MilliTime now);
};

}

#endif
