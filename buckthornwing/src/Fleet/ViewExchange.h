#ifndef BUCKTHORNWING_VIEW_EXCHANGE_H
#define BUCKTHORNWING_VIEW_EXCHANGE_H

#include "../Steering/ViewController.h"
#include "FleetMembers.h"
#include "FleetMessenger.h"
#include "ViewTransfer.h"

#include <deque>

namespace buckthornwing {

/// \brief Keeps the view of targets and routes as new as that of any peer, and
/// passes it on.
class ViewExchange
{
public:
  ViewExchange(TagBoard& board,
               ViewController& view,
               FleetMembers& members,
               FleetMessenger& messenger);

  /// \brief Sends what is due.
  void tick(MilliTime now);

  /// \brief Passes news on to a few members, if there are any.
  /// \param isReading whether this instance reads the store; such a one tells
  /// other zones as well
  void push(bool isReading, MilliTime now);

  /// \brief Without a view, asks a member that has one.
  void seek(MilliTime now);

  /// \brief Tells others once that this instance has a view now.
  void offer(MilliTime now);

  /// \brief Takes over the ages of a peer's view that is not newer, and when
  /// the store last failed a peer; each answer of the store counts once.
  void confirm(const ViewVersions& peer, MilliTime now);

  /// \brief Asks a peer for what is newer than the own view.
  void askIfOlder(const ViewVersions& peer,
                  const Endpoint& from,
                  MilliTime now);

  void onRequest(const ViewRequest& body,
                 const FleetMember& sender,
                 MilliTime now);
  void onPart(const ViewPart& body, const FleetMember& sender, MilliTime now);

  /// \returns whether parts of a view are arriving.
  bool isFetching() const
  {
    return this->fetchedTargets.isFetching() ||
           this->fetchedRoutes.isFetching();
  }
  /// \returns since when a peer has had a newer view; 0 if none has.
  MilliTime newerAtPeersSince() const { return this->newerSince; }
  /// \returns when a member first had a view while this one had none; 0: never.
  MilliTime firstOfferAt() const { return this->offeredAt; }

private:
  /// \brief How far a view went at a time.
  struct ViewPoint
  {
    MilliTime at{};
    std::uint64_t targets = 0; ///< revision
    std::uint64_t routes = 0;  ///< version
  };

  TagBoard& board;
  ViewController& view;
  FleetMembers& members;
  FleetMessenger& messenger;
  OutgoingTransfers served;
  IncomingTransfers fetchedTargets{ ViewContent::targets };
  IncomingTransfers fetchedRoutes{ ViewContent::routes };
  ViewPoint pushed;
  ViewPoint newest; ///< that any peer told of
  MilliTime newerSince{};
  MilliTime offeredAt{};
  bool hasOffered = false;
  std::deque<ViewPoint> points; ///< of the last pushes
  MilliTime nextPush{};
  MilliTime nextTargetsRequest{};
  MilliTime nextRoutesRequest{};

  EventFilter targetsConfirmations;
  EventFilter routesConfirmations;
  EventFilter storeFailures;

  void confirmTargets(const ViewVersions& peer, MilliTime now);
  void confirmRoutes(const ViewVersions& peer, MilliTime now);
  MilliDuration requestPeriod() const;
  void requestTargets(const Endpoint& from, MilliTime now);
  void requestRoutes(const Endpoint& from, MilliTime now);
  void onUpdate(const ViewUpdate& update,
                ViewContent content,
                const FleetMember& sender,
                MilliTime now);
  ViewPoint pushBase(MilliTime now) const;
  void notePoint(MilliTime now);
  void pushContent(ViewContent content,
                   std::uint64_t base,
                   bool isReading,
                   MilliTime now);
  std::string encodeUpdate(ViewContent content,
                           std::uint64_t since,
                           MilliTime now) const;
  void reportServed(const ViewRequest& request,
                    const FleetMember& receiver,
                    MilliTime now);
  void sendWindow(const Endpoint& to,
                  const std::string& encoded,
                  const ViewRequest& request);
};

}

#endif
