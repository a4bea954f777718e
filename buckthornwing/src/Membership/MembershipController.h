#ifndef BUCKTHORNWING_MEMBERSHIP_CONTROLLER_H
#define BUCKTHORNWING_MEMBERSHIP_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "Dissemination.h"
#include "Lifecycle.h"

#include <map>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief SWIM-style failure detector: determines which instances are
/// reachable.
///
/// In each period an instance probes one other that it considers reachable or
/// has not heard yet, independent of the fleet's size, and a bounded number of
/// dead ones. Probes carry updates of member states. The platform's list
/// supplies only addresses: an instance is reachable only once a message of its
/// own has arrived.
class MembershipController
{
public:
  /// \param board the blackboard; must outlive the controller
  explicit MembershipController(Blackboard& board);

  /// \brief Adds this instance to the blackboard as its first member and pings
  /// the configured seeds.
  /// \param incarnation must exceed that of every earlier run of the same id
  void start(std::uint32_t incarnation, MilliTime now);

  /// \brief Adds the instances that the platform lists, to be probed, and
  /// updates the addresses of those that were not heard yet.
  void addListedInstances(std::span<const InstanceConfig> instances);

  /// \brief Updates the state of a message's sender.
  /// \returns the sender, or kNoMember if the message must be ignored: its
  /// sender is unknown or this instance itself, it is from an earlier
  /// incarnation, or the sender is dead in this view and the message is neither
  /// a probe nor a Relay nor a ConfigurationRequest
  MemberIndex receive(const PeerMessage& message, MilliTime now);

  /// \brief Applies the updates of a probe, and answers or forwards it.
  void onProbe(MemberIndex from, const Probe& probe, MilliTime now);

  /// \brief Sends due probes and announcements, and marks members as suspect or
  /// dead whose answers are overdue.
  void tick(MilliTime now);

  /// \brief Queues this instance's state for its probes and pings the reachable
  /// instances at once, while joining also those not heard yet, up to
  /// kMaxDirectAnnouncements in all.
  void announceSelf(MilliTime now);

  /// \brief Processes a life-cycle event; a change is logged and announced.
  /// \returns whether its state changed
  bool processLifecycle(LifecycleEvent event, MilliTime now);

  /// \brief Discards the last contact with peers. Until the view is confirmed
  /// again, only acknowledgements of probes sent from now on count as contact.
  void requireFreshContact();

  LifecycleState lifecycleState() const { return this->lifecycle.state(); }

  /// \returns whether the set of owners may have changed since the last call.
  bool takeOwnersChanged();

  /// \returns whether, since the last call, a member became reachable again
  /// that had been live on the other side of a network partition.
  bool takePartitionHealed();

private:
  /// \brief A ping that was not acknowledged yet.
  struct PendingProbe
  {
    MemberIndex member = kNoMember;
    MilliTime sentAt{};
    bool indirect = false; ///< other instances were asked to ping it
  };

  /// \brief A ping sent on behalf of another instance.
  struct ForwardedProbe
  {
    MemberIndex requester = kNoMember;
    std::uint32_t sequence = 0; ///< of the requester's ping
  };

  Blackboard& board;
  Dissemination dissemination;
  Lifecycle lifecycle;
  std::vector<MemberIndex> probeRound; ///< members left to probe in this round
  std::map<std::uint32_t, PendingProbe> pending;     ///< by sequence number
  std::map<std::uint32_t, ForwardedProbe> forwarded; ///< by sequence number
  std::uint32_t nextSequence = 1;
  MilliTime nextProbeAt{};
  MilliTime nextRevisionAnnouncementAt{};
  unsigned probesSent = 0;
  bool ownersChanged = true;
  bool partitionHealed = false;

  MemberIndex addMember(const MemberUpdate& update);
  void sendProbe(MemberIndex to,
                 ProbeKind kind,
                 std::uint32_t sequence,
                 MemberTag subject = 0);
  void pingEndpoint(const Endpoint& endpoint);
  /// \brief Pings listed instances that were not heard yet; called while this
  /// instance joins.
  void pingUnheardMembers();
  void probeDeadMembers();
  void applyUpdate(const MemberUpdate& update, MilliTime now);
  void applyUpdateAboutSelf(const MemberUpdate& update, MilliTime now);
  void setLiveness(MemberIndex member, Liveness liveness, MilliTime now);
  void probeNext(MilliTime now);
  MemberIndex nextToProbe();
  void checkPending(MilliTime now);
  void requestIndirectPings(MemberIndex member, std::uint32_t sequence);
  void checkSuspects(MilliTime now);
  void announceRevision(MilliTime now);
};

}

#endif
