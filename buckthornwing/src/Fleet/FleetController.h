#ifndef BUCKTHORNWING_FLEET_CONTROLLER_H
#define BUCKTHORNWING_FLEET_CONTROLLER_H

#include "../Steering/ViewController.h"
#include "FleetMembers.h"
#include "StoreReaders.h"
#include "ViewTransfer.h"

#include <deque>
#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief A message on its way to a peer.
struct OutgoingFleetMessage
{
  Endpoint to;
  FleetMessage message;
};

/// \brief Keeps up with the peers: who lives, what they see, and whose view of
/// targets and routes is newer.
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
  std::vector<OutgoingFleetMessage>& outgoing() { return this->outbox; }
  /// \returns numbers of targets that peers in the zone found dead since the
  /// last call.
  std::vector<std::uint64_t> takeFoundDead()
  {
    return std::exchange(this->foundDead, {});
  }

private:
  TagBoard& board;
  ViewController& view;
  FleetMembers members;
  OutgoingTransfers served;
  IncomingTransfers fetchedTargets{ ViewContent::targets };
  IncomingTransfers fetchedRoutes{ ViewContent::routes };
  std::vector<OutgoingFleetMessage> outbox;
  std::vector<std::uint64_t> foundDead;
  /// \brief How far a view went at a time.
  struct ViewPoint
  {
    MilliTime at{};
    std::uint64_t targets = 0; ///< revision
    std::uint64_t routes = 0;  ///< version
  };

  ViewPoint pushed;
  ViewPoint newest;        ///< that any peer told of
  MilliTime behindSince{}; ///< 0 if no peer has a newer view
  MilliTime startedAt{};   ///< of this process
  MilliTime offeredAt{};   ///< first time that a member had a view; 0: none
  bool hasOffered = false; ///< told others of its first view
  MilliDuration askPeersFirst{};
  MilliTime nextConfirmation{};
  std::deque<ViewPoint> points; ///< of the last pushes
  MilliTime nextPush{};
  std::size_t nextReport = 0;
  MilliTime nextZoneBeat{};
  MilliTime nextFarBeat{};
  MilliTime nextSeedBeat{};
  MilliTime nextMemberReport{};
  MilliTime nextMemberRequest{};
  MilliTime nextTargetsRequest{};
  MilliTime nextRoutesRequest{};

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
  void onUpdate(const ViewUpdate& update,
                ViewContent content,
                const FleetMember& sender,
                MilliTime now);
  void confirmView(const ViewVersions& peer, MilliTime now);
  void answerStarter(const FleetMember& peer, bool isNew, MilliTime now);
  void seekView(MilliTime now);
  void offerView(MilliTime now);
  void requestTargets(const Endpoint& from, MilliTime now);
  void requestRoutes(const Endpoint& from, MilliTime now);
  void askIfOlder(const ViewVersions& peer,
                  const Endpoint& from,
                  MilliTime now);
  void takeReports(KnownMember& member,
                   const FleetHeartbeat& body,
                   MilliTime now);
  bool isSeed() const;
  void sumReports(MilliTime now);
  void addReports(KnownMember& member, MilliTime now);
  ViewPoint pushBase(MilliTime now) const;
  void notePoint(MilliTime now);
  ViewVersions ownView(MilliTime now) const;
  FleetHeartbeat heartbeat(std::span<const KnownMember* const> told,
                           MilliTime now);
  std::vector<TargetReport> nextReports(MilliTime now);
  void reportMemberChanges(MilliTime now);
  void reportManyChanges(std::span<const MemberChange> changes);
  void sendHeartbeat(const Endpoint& to, MilliTime now);
  /// \brief Tells an instance without a view of members that have one.
  void sendOffer(const Endpoint& to, MilliTime now);
  void sendWindow(const Endpoint& to,
                  const std::string& encoded,
                  const ViewRequest& request);
  void push(ViewContent content, std::uint64_t base, MilliTime now);
  std::string encodeUpdate(ViewContent content,
                           std::uint64_t since,
                           MilliTime now) const;
  template<typename Body>
  void send(const Endpoint& to, Body body);
};

}

#endif
