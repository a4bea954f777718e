#ifndef BUCKTHORNWING_FLEET_MESSENGER_H
#define BUCKTHORNWING_FLEET_MESSENGER_H

#include "../Steering/TagBlackboard.h"
#include "FleetMembers.h"
#include "LoadReports.h"

#include <span>
#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief A message to be sent to a peer.
struct OutgoingFleetMessage
{
  Endpoint to;
  FleetMessage message;
};

/// \brief Composes the messages of this instance and queues them.
class FleetMessenger
{
public:
  FleetMessenger(TagBlackboard& board,
                 FleetMembers& members,
                 LoadReports& reports);

  /// \brief Queues a message.
  /// \param body one of the alternatives of FleetMessage::body
  template<typename Body>
  void send(const Endpoint& to, Body body)
  {
    if (this->board.hasView()) {
      this->members.setHasView();
    }
    this->outbox.push_back({ to, { this->members.own(), std::move(body) } });
  }

  void sendHeartbeat(const Endpoint& to, MilliTime now);

  /// \brief Sends an instance without a view a heartbeat that names members
  /// which have one. If none is known, it names any live members.
  void sendOffer(const Endpoint& to, MilliTime now);

  /// \brief Sends the full entries of the live members with the given keys.
  void sendMembers(const Endpoint& to,
                   std::span<const std::uint32_t> keys,
                   MilliTime now);

  /// \returns the versions and ages of this instance's view.
  ViewVersions ownView(MilliTime now) const;

  /// \returns the messages queued since the last call.
  std::vector<OutgoingFleetMessage> takeOutgoing()
  {
    return std::exchange(this->outbox, {});
  }

private:
  TagBlackboard& board;
  FleetMembers& members;
  LoadReports& reports;
  std::vector<OutgoingFleetMessage> outbox;

  /// \returns a heartbeat without load reports.
  FleetHeartbeat buildHeartbeat(std::span<const KnownMember* const> gossiped,
                                MilliTime now);
  /// \returns the load reports for a member, with sums if it is of another
  /// zone.
  std::vector<TargetReport> reportsFor(const Endpoint& to, MilliTime now);
};

}

#endif
