#ifndef BUCKTHORNWING_VIEW_EXCHANGE_H
#define BUCKTHORNWING_VIEW_EXCHANGE_H

#include "../Steering/ViewController.h"
#include "FleetMembers.h"
#include "FleetMessenger.h"
#include "ViewTransfer.h"

#include <deque>

namespace buckthornwing {

/// \brief Keeps the view of targets and routes as new as that of any peer, and
/// sends changes on to other peers.
class ViewExchange
{
public:
  ViewExchange(TagBlackboard& board,
               ViewController& view,
               FleetMembers& members,
               FleetMessenger& messenger);

  /// \brief Sends the requests whose time has come.
  void tick(MilliTime now);

  /// \brief If the view changed since the last push, sends the changes of at
  /// least kPushOverlap to a few members.
  /// \param isReading whether this instance reads the store; if so, it sends to
  /// other zones as well
  void push(bool isReading, MilliTime now);

  /// \brief If this instance has no view, requests it from a member that has
  /// one.
  void requestFirstView(MilliTime now);

  /// \brief Announces to the seeds and to some members without a view that this
  /// instance has one now; done once.
  void announceFirstView(MilliTime now);

  /// \brief Takes over from a peer when the store last confirmed a view that is
  /// not newer than this instance's, and when the store last failed. Each
  /// response of the store is taken over once.
  void mergeConfirmations(const ViewVersions& peer, MilliTime now);

  /// \brief Requests from a peer what is newer than this instance's view, if
  /// anything is. A first view that larger members have is left to
  /// requestFirstView(): otherwise starting instances would all request it from
  /// the seeds, which answer them first.
  void requestIfNewer(const ViewVersions& peer,
                      const Endpoint& from,
                      MilliTime now);

  /// \brief Handles a peer's request for a view.
  void onRequest(const ViewRequest& body,
                 const FleetMember& sender,
                 MilliTime now);
  /// \brief Handles a part of a view that a peer sent.
  void onPart(const ViewPart& body, const FleetMember& sender, MilliTime now);

  /// \returns whether a view is being transferred from a peer.
  bool isFetching() const
  {
    return this->fetchedTargets.isFetching() ||
           this->fetchedRoutes.isFetching();
  }
  /// \returns the time since which a peer has had a newer view; 0 if none has.
  MilliTime newerViewAtPeersSince() const { return this->newerAtPeersSince; }
  /// \returns the time at which a member with a view was first known while this
  /// instance had none; 0: never.
  MilliTime firstOfferAt() const { return this->offeredAt; }

private:
  /// \brief Versions of a view at a time.
  struct ViewPosition
  {
    MilliTime at{};
    StorePosition targets;
    std::uint64_t routes = 0; ///< version
  };

  TagBlackboard& board;
  ViewController& view;
  FleetMembers& members;
  FleetMessenger& messenger;
  OutgoingTransfers served;
  IncomingTransfers fetchedTargets{ ViewContent::targets };
  IncomingTransfers fetchedRoutes{ ViewContent::routes };
  ViewPosition pushed;                       ///< versions at the last push
  std::vector<Evacuation> pushedEvacuations; ///< at the last push
  ViewPosition newestAtPeers; ///< highest versions that any peer has announced
  MilliTime newerAtPeersSince{};
  MilliTime offeredAt{};
  bool hasOffered = false;
  std::deque<ViewPosition> pushHistory; ///< last pushes, oldest first
  MilliTime nextPush{};
  bool needsFullTargets = false; ///< a peer's targets differ at one position
  MilliTime nextTargetsRequest{};
  MilliTime nextRoutesRequest{};

  EventFilter targetsConfirmations;
  EventFilter routesConfirmations;
  EventFilter evacuationsConfirmations;
  EventFilter storeFailures;

  void mergeTargetsConfirmation(const ViewVersions& peer, MilliTime now);
  void mergeRoutesConfirmation(const ViewVersions& peer, MilliTime now);
  /// \returns whether this instance has no view yet and takes one from a peer;
  /// see requestFirstView().
  bool needsFirstView() const
  {
    return !this->board.hasView() && this->board.settings.policy.takesPeerViews;
  }
  MilliDuration requestPeriod() const;
  void requestTargets(const Endpoint& from, MilliTime now);
  void requestRoutes(const Endpoint& from, MilliTime now);
  void onUpdate(const ViewUpdate& update,
                ViewContent content,
                const FleetMember& sender,
                MilliTime now);
  void onTargetsUpdate(const ViewUpdate& update, MilliTime now);
  void onRoutesUpdate(const ViewUpdate& update, MilliTime now);
  /// \returns the era that a peer names. Peers of the version before name none;
  /// theirs is taken to be the newest one.
  StoreEra eraOf(const std::optional<StoreEra>& named) const
  {
    return named.value_or(this->board.knownEra());
  }
  StorePosition targetsPositionOf(const ViewVersions& peer) const
  {
    return { this->eraOf(peer.targetsEra), peer.targetsRevision };
  }
  /// \brief Takes over that the store has a new era.
  void mergeEra(const ViewVersions& peer);
  /// \returns the versions of the last push that is at least kPushOverlap old;
  /// nothing if there is none.
  std::optional<ViewPosition> pushBase(MilliTime now) const;
  void recordPush(MilliTime now);
  /// \returns the members that changes are sent to.
  std::vector<const KnownMember*> pushPeers(bool isReading, MilliTime now);
  /// \brief Sends heartbeats, which carry the evacuations, if these changed.
  void pushEvacuations(bool isReading, MilliTime now);
  /// \param encoded the update to send
  void pushUpdate(ViewContent content,
                  const std::string& encoded,
                  bool isReading,
                  MilliTime now);
  std::string encodeTargets(const std::optional<StorePosition>& since,
                            MilliTime now) const;
  std::string encodeRoutes(std::uint64_t since, MilliTime now) const;
  std::string encodeRequested(const ViewRequest& request, MilliTime now) const;
  void reportServed(const ViewRequest& request,
                    const FleetMember& receiver,
                    MilliTime now);
  void sendWindow(const Endpoint& to,
                  const std::string& encoded,
                  const ViewRequest& request);
};

}

#endif
