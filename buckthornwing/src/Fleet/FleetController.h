#ifndef BUCKTHORNWING_FLEET_CONTROLLER_H
#define BUCKTHORNWING_FLEET_CONTROLLER_H

#include "FleetMembers.h"
#include "FleetMessenger.h"
#include "LoadReports.h"
#include "StoreReaders.h"
#include "ViewExchange.h"

#include <vector>

namespace buckthornwing {

/// \brief Keeps up with the peers: who lives, what they see, and who of all
/// reads the store.
class FleetController
{
public:
  FleetController(TagBoard& board, ViewController& view);

  void onMessage(const FleetMessage& message, MilliTime now);

  /// \brief Sends what is due.
  void tick(MilliTime now);

  /// \brief Passes news on to a few members, if there are any.
  void pushView(MilliTime now);

  /// \brief Tells some members that the store has just confirmed the view.
  void tellConfirmed(MilliTime now);

  /// \returns whether this instance reads the store.
  bool shouldReadStore(MilliTime now) const;

  void setStopping() { this->members.setStopping(); }
  const FleetMembers& fleet() const { return this->members; }
  std::vector<OutgoingFleetMessage> takeOutgoing()
  {
    return this->messenger.takeOutgoing();
  }
  /// \returns numbers of targets that peers in the zone found dead since the
  /// last call.
  std::vector<std::uint64_t> takeFoundDead()
  {
    return this->reports.takeFoundDead();
  }

private:
  TagBoard& board;
  FleetMembers members;
  LoadReports reports;
  FleetMessenger messenger;
  ViewExchange exchange;
  MilliTime startedAt{}; ///< of this process
  MilliDuration askPeersFirst{};
  MilliTime nextConfirmation{};
  MilliTime nextZoneBeat{};
  MilliTime nextFarBeat{};
  MilliTime nextSeedBeat{};
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
  void hearSigns(std::span<const MemberSign> signs,
                 const Endpoint& from,
                 MilliTime now);
  void answerStarter(const FleetMember& peer, bool isNew, MilliTime now);
  bool isSeed() const;
  void reportMemberChanges(MilliTime now);
  void reportManyChanges(std::span<const MemberChange> changes);
};

}

#endif
