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

/// \brief Time between two calls of Engine::tick().
inline constexpr MilliDuration kTickPeriod{ 100 };

/// \brief One entry instance: all controllers around one blackboard.
///
/// The engine reads no clock and does no I/O. Each call takes the present
/// time; afterwards the host sends outbox().messages, logs outbox().events and
/// clears the outbox.
class Engine
{
public:
  /// \param incarnation above that of every earlier run of the same id, for
  /// example the wall clock in seconds
  /// \param seed of all random choices
  Engine(EngineSettings settings,
         std::uint32_t incarnation,
         std::uint64_t seed,
         MilliTime now);

  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// \brief Decides a packet that the fabric handed to this instance.
  Decision onPacket(PacketBytes packet, MilliTime now);

  /// \brief Takes a message of a peer. A relayed packet's outcome is returned,
  /// with its bytes in the message; any other message returns nothing.
  std::optional<Decision> onPeerMessage(const PeerMessage& message,
                                        MilliTime now);

  /// \brief Takes a configuration document from the platform.
  AdoptOutcome onConfiguration(std::string_view text, MilliTime now);

  /// \brief Notes that the platform answered that nothing is new.
  void onPlatformContact(MilliTime now);

  /// \brief Takes the platform's list of instances.
  void onInstanceList(std::span<const InstanceConfig> instances);

  /// \brief Takes a target's report of itself; unknown ids are ignored.
  void onLoadReport(std::string_view targetId,
                    const LoadReport& report,
                    MilliTime now);

  /// \brief Lets time pass; to be called every kTickPeriod.
  void tick(MilliTime now);

  /// \brief Starts a planned stop: hands all flows over, still forwarding.
  void requestStop(MilliTime now);

  /// \returns whether a planned stop is done and the process may end: all was
  /// handed over and the fabric sends nothing any more, or the time is up.
  bool readyToStop(MilliTime now) const;

  /// \brief Tells the peers that this instance sends nothing more.
  void announceStopped(MilliTime now);

  bool shouldWatchPlatform(MilliTime now) const;

  Outbox& outbox() { return this->board.outbox; }
  const Blackboard& blackboard() const { return this->board; }
  LifecycleState lifecycleState() const;
  const Problems& configurationProblems() const;

  /// \returns the packet's bytes to send to a peer for a relay decision.
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

  void noticeRevision(MilliTime now);
  void updateOwners(MilliTime now);
  void dispatch(MemberIndex from, const PeerBody& body, MilliTime now);
};

}

#endif
