#ifndef BUCKTHORNWING_BUCKET_STATES_CONTROLLER_H
#define BUCKTHORNWING_BUCKET_STATES_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "RecordSender.h"

#include <map>
#include <vector>

namespace buckthornwing {

/// \brief Tells peers which buckets' flows must ask their owner.
///
/// After a change every instance flags the moved buckets by itself. Their
/// owner clears the flag, in one announcement, once each open flow that is
/// away from the table has been made known everywhere. An owner whose table
/// target can't take flows sets the flag, and acts on it only after every
/// instance has heard or has lost contact.
class BucketStatesController
{
public:
  BucketStatesController(Blackboard& board, RecordSender& sender);

  /// \brief Takes a part of an owner's announcement.
  void onBucketStates(MemberIndex from, const BucketStates& states);

  void onStatesRequest(MemberIndex from);

  /// \brief Places the flows of a table target's buckets by load from now on.
  void divert(ServiceIndex service, TargetIndex target, MilliTime now);

  /// \returns whether a diversion has been known long enough to act on it.
  bool divertedLongEnough(const Service& service,
                          TargetIndex target,
                          MilliTime now) const;

  /// \brief Ends a diversion; its buckets settle when their flows allow it.
  void endDiversion(ServiceIndex service, TargetIndex target);

  /// \brief Asks for announcements that were missed; settles buckets.
  void tick(MilliTime now);

  /// \brief Flags every bucket: after a partition any of them may have flows
  /// that the other side placed.
  void flagAll();

  /// \brief Trusts the table for slots that nobody owned before.
  void vouchFor(const std::vector<bool>& slots);

  /// \brief Tells every instance the state of this one's buckets.
  void announce();

  /// \brief Tells one instance, for example before a slot goes over to it.
  void sendStates(MemberIndex to);

private:
  /// \brief Parts of one announcement.
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
  std::vector<MemberIndex> requests; ///< members that wait for an answer
  MilliTime nextSettleAt{};
  MilliTime nextUnvouchedAt{};
  MilliTime noticeUntil{};
  MilliTime nextNoticeAt{};
  bool anyUnvouched = true;

  void notice(MemberIndex to);
  void repeatNotices(MilliTime now);
  std::vector<BucketStates> buildStates() const;
  void applyStates(MemberIndex from, const Assembly& assembly);
  std::vector<bool> unvouchedOwners();
  void askForMissing(MilliTime now);
  void answerRequests();
  void settle(MilliTime now);
  bool shareAwayFlows();
  bool maySettle(const Service& service, BucketIndex bucket) const;
  bool anythingToSettle(Service& service) const;
  std::size_t settleService(Service& service);
};

}

#endif
