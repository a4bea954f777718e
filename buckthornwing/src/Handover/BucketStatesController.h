#ifndef BUCKTHORNWING_BUCKET_STATES_CONTROLLER_H
#define BUCKTHORNWING_BUCKET_STATES_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "RecordSender.h"

#include <map>
#include <vector>

namespace buckthornwing {

/// \brief Exchanges with peers which buckets are settled.
///
/// Packets of unknown flows are forwarded by the table if their bucket is
/// settled, and relayed to the flow's owner otherwise.
///
/// After a revision each instance flags the buckets that it moves. The owner of
/// a bucket clears the flag in an announcement, once all instances have the
/// records of the open flows that are away from their table target. If the
/// table target can't take flows, the owner flags the target's buckets (a
/// diversion). It places flows elsewhere only after every instance has received
/// the announcement or no longer trusts its own view.
class BucketStatesController
{
public:
  BucketStatesController(Blackboard& board, RecordSender& sender);

  /// \brief Processes one part of an owner's announcement, and applies the
  /// announcement when all its parts are there.
  void onBucketStates(MemberIndex from, const BucketStates& states);

  /// \brief Queues a member for an announcement; it is sent after the records
  /// of the flows that are away from their table target.
  void onStatesRequest(MemberIndex from);

  /// \brief Starts a diversion: flags the buckets of a target that this
  /// instance acts for. Once it takes effect, their flows are placed by load.
  void divert(ServiceIndex service, TargetIndex target, MilliTime now);

  /// \returns whether the diversion of a target was announced long enough ago
  /// to take effect.
  bool diversionInEffect(const Service& service,
                         TargetIndex target,
                         MilliTime now) const;

  /// \brief Ends a diversion. Its buckets are settled later, once all instances
  /// know the flows that are away from the target.
  void endDiversion(ServiceIndex service, TargetIndex target);

  /// \brief Requests missed announcements, answers requests and settles
  /// buckets.
  void tick(MilliTime now);

  /// \brief Flags every bucket and announces it. After a partition any bucket
  /// may have flows that the other side placed.
  void flagAll();

  /// \brief Clears the flag of a new instance for the buckets of slots that had
  /// no owner before, and announces it: none of their flows can be away from
  /// the table.
  void markVerified(const std::vector<bool>& slots);

  /// \brief Announces the flags of this instance's buckets to all reachable
  /// members under a new version.
  void announce();

  /// \brief Sends the announcement to one member. A member that lacks records
  /// of flows away from their table target gets these first.
  void sendStates(MemberIndex to);

private:
  /// \brief The parts received of one announcement.
  struct Assembly
  {
    std::uint32_t version = 0;
    std::vector<bool> have;
    std::map<ServiceIndex, std::vector<std::uint32_t>> flagged;
    std::vector<bool> slots = std::vector<bool>(kSlotCount);
  };

  Blackboard& board;
  RecordSender& sender;
  std::map<MemberIndex, Assembly> assemblies;
  std::vector<MemberIndex> requests; ///< members whose request is not answered
  MilliTime nextSettleAt{};
  MilliTime nextUnverifiedAt{};
  MilliTime repeatVersionUntil{};
  MilliTime nextVersionAt{};
  bool anyUnverified = true;

  /// \brief Sends a message whose header holds the current version. Until the
  /// member has the announcement of that version, it relays packets of unknown
  /// flows to their owner.
  void sendVersion(MemberIndex to);
  /// \brief Repeats the version to all members until the last diversion takes
  /// effect.
  void repeatVersion(MilliTime now);
  std::vector<BucketStates> buildStates() const;
  void applyStates(MemberIndex from, const Assembly& assembly);
  /// \returns, by MemberIndex, which members own buckets whose state this
  /// instance does not know since it started.
  std::vector<bool> unverifiedOwners();
  void requestMissing(MilliTime now);
  void answerRequests();
  void settle(MilliTime now);
  bool shareAwayFlows();
  bool maySettle(const Service& service, BucketIndex bucket) const;
  bool anythingToSettle(Service& service) const;
  std::size_t settleService(Service& service);
};

}

#endif
