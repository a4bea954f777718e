#ifndef BUCKTHORNWING_MEMBERSHIP_CONTROLLER_H
#define BUCKTHORNWING_MEMBERSHIP_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "Dissemination.h"
#include "Lifecycle.h"

#include <map>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief Finds out which instances can be reached, after SWIM.
///
/// Each instance probes one other per period, whatever the fleet's size, and
/// changes travel with the probes. The platform's list only supplies
/// addresses: an instance counts once it was heard itself.
class MembershipController
{
public:
  /// \param board the blackboard; must outlive the controller
  explicit MembershipController(Blackboard& board);

  /// \brief Puts this instance on the blackboard as its first member.
  /// \param incarnation above that of every earlier run of the same id
  void start(std::uint32_t incarnation, MilliTime now);

  /// \brief Takes the platform's list as a hint of whom to contact.
  void learnListed(std::span<const InstanceConfig> instances);

  /// \brief Notes the sender of a message.
  /// \returns the sender, or kNoMember if the message must be ignored
  MemberIndex receive(const PeerMessage& message, MilliTime now);

  /// \brief Answers a probe and takes in its updates.
  void onProbe(MemberIndex from, const Probe& probe, MilliTime now);

  /// \brief Probes, suspects and gives up members as time passes.
  void tick(MilliTime now);

  /// \brief Tells every reachable instance this one's state at once.
  void announceSelf(MilliTime now);

  /// \brief Moves this instance through its life and tells the others.
  /// \returns whether its state changed
  bool processLifecycle(LifecycleEvent event, MilliTime now);

  /// \brief Lets only answers to probes sent from now on count as contact.
  void requireFreshContact();

  LifecycleState lifecycleState() const { return this->lifecycle.state(); }

  /// \returns whether the set of owners may have changed since the last call.
  bool takeOwnersChanged();

  /// \returns whether a member came back, since the last call, that had been
  /// live beyond a partition.
  bool takePartitionHealed();

private:
  /// \brief A ping that waits for its acknowledgement.
  struct PendingProbe
  {
    MemberIndex member = kNoMember;
    MilliTime sentAt{};
    bool indirect = false; ///< others were asked to ping it
  };

  /// \brief A ping sent for another instance.
  struct ForwardedProbe
  {
    MemberIndex requester = kNoMember;
    std::uint32_t sequence = 0; ///< of the requester
  };

  Blackboard& board;
  Dissemination dissemination;
  Lifecycle lifecycle;
  std::vector<MemberIndex> round; ///< members still to probe this round
  std::map<std::uint32_t, PendingProbe> pending;
  std::map<std::uint32_t, ForwardedProbe> forwarded;
  std::uint32_t nextSequence = 1;
  MilliTime nextProbeAt{};
  MilliTime nextRevisionNoticeAt{};
  unsigned probesSent = 0;
  bool ownersChanged = true;
  bool healed = false;

  MemberIndex addMember(const MemberUpdate& update);
  void sendProbe(MemberIndex to,
                 ProbeKind kind,
                 std::uint32_t sequence,
                 MemberTag subject = 0);
  void pingEndpoint(const Endpoint& endpoint);
  void findListed();
  void probeDead();
  void takeUpdate(const MemberUpdate& update, MilliTime now);
  void takeUpdateOfSelf(const MemberUpdate& update, MilliTime now);
  void setLiveness(MemberIndex member, Liveness liveness, MilliTime now);
  void probeNext(MilliTime now);
  MemberIndex nextToProbe();
  void checkPending(MilliTime now);
  void askOthersToPing(MemberIndex member, std::uint32_t sequence);
  void checkSuspects(MilliTime now);
  void noticeRevision(MilliTime now);
};

}

#endif
