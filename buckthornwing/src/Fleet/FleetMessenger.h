#ifndef BUCKTHORNWING_FLEET_MESSENGER_H
#define BUCKTHORNWING_FLEET_MESSENGER_H

#include "../Steering/TagBoard.h"
#include "FleetMembers.h"
#include "LoadReports.h"

#include <span>
#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief A message on its way to a peer.
struct OutgoingFleetMessage
{
  Endpoint to;
  FleetMessage message;
};

/// \brief Writes the messages of this instance to its peers.
class FleetMessenger
{
public:
  FleetMessenger(TagBoard& board, FleetMembers& members, LoadReports& reports);

  template<typename Body>
  void send(const Endpoint& to, Body body)
  {
    if (this->board.hasView()) {
      this->members.setHasView();
    }
    this->outbox.push_back({ to, { this->members.own(), std::move(body) } });
  }

  void sendHeartbeat(const Endpoint& to, MilliTime now);

  /// \brief Tells an instance without a view of members that have one.
  void sendOffer(const Endpoint& to, MilliTime now);

  /// \brief Tells of the members with the given keys in full.
  void sendMembers(const Endpoint& to,
                   std::span<const std::uint32_t> keys,
                   MilliTime now);

  /// \returns how new this instance's view is.
  ViewVersions ownView(MilliTime now) const;

  std::vector<OutgoingFleetMessage> takeOutgoing()
  {
    return std::exchange(this->outbox, {});
  }

private:
  TagBoard& board;
  FleetMembers& members;
  LoadReports& reports;
  std::vector<OutgoingFleetMessage> outbox;

  FleetHeartbeat heartbeat(std::span<const KnownMember* const> told,
                           MilliTime now);
};

}

#endif
