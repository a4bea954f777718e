#ifndef BUCKTHORNWING_FLEET_CONTROLLER_H
#define BUCKTHORNWING_FLEET_CONTROLLER_H

#include "../Steering/TargetSpeedController.h"
#include "FleetMembers.h"
#include "FleetMessenger.h"
#include "LoadReports.h"
#include "StoreReaders.h"
#include "ViewExchange.h"

#include <vector>

namespace buckthornwing {

/// \brief Communicates with the peers: membership, load reports, exchange of
/// views, and the choice of the instances that read the store.
class FleetController
{
public:
  FleetController(TagBlackboard& board, ViewController& view);

  /// \brief Handles a message of a peer.
  void onMessage(const FleetMessage& message, MilliTime now);

  /// \brief Sends the messages whose time has come.
  void tick(MilliTime now);

  /// \brief Sends changes of the view, if there are any, to a few members.
  void pushView(MilliTime now);

  /// \brief Tells the stand-by reader and a member of each other zone that the
  /// store has just confirmed the view.
  void announceConfirmation(MilliTime now);

  /// \returns whether this instance should read the store now.
  bool shouldReadStore(MilliTime now) const;

  /// \brief Marks this instance as stopping in all further messages.
  void setStopping() { this->members.setStopping(); }
  const FleetMembers& fleet() const { return this->members; }
  /// \returns the messages to send since the last call.
  std::vector<OutgoingFleetMessage> takeOutgoing()
  {
    return this->messenger.takeOutgoing();
  }
  /// \returns the short keys of the targets that peers of this instance's zone
  /// have reported dead since the last call.
  std::vector<ShortTargetKey> takeTargetsFoundDead()
  {
    return this->reports.takeTargetsFoundDead();
  }

private:
  TagBlackboard& board;
  FleetMembers members;
  LoadReports reports;
  TargetSpeedController speeds;
  FleetMessenger messenger;
  ViewExchange exchange;
  MilliTime startedAt{};          ///< first tick of this process
  MilliDuration startReadDelay{}; ///< a start waits this long for peers' views
  MilliTime nextConfirmation{};
  MilliTime nextZoneHeartbeat{};
  MilliTime nextOtherZonesHeartbeat{};
  MilliTime nextSeedHeartbeat{};
  MilliTime nextMemberReport{};
  MilliTime nextMemberRequest{};

  void onBody(const FleetHeartbeat& body,
              const FleetMember& sender,
              MilliTime now);
  void onBody(const ViewRequest& body,
              const FleetMember& sender,
              MilliTime now);
  void onBody(const ViewPart& body, const FleetMember& sender, MilliTime now);
  void onBody(const MemberRequest& body,
              const FleetMember& sender,
              MilliTime now);
  void mergeLivenessEntries(std::span<const MemberLiveness> liveness,
                            const Endpoint& from,
                            MilliTime now);
  void answerStartingMember(const FleetMember& peer, bool isNew, MilliTime now);
  bool isSeed() const;
  bool hasOtherSeeds() const;
  /// \brief Publishes the active members on the blackboard, if the limits of
  /// cold targets need them.
  void publishActiveMembers(MilliTime now);
  void reportMemberChanges(MilliTime now);
  void reportChangesByZone(std::span<const MemberChange> changes);
};

}

#endif
