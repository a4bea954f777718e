#ifndef BUCKTHORNWING_OUTBOX_H
#define BUCKTHORNWING_OUTBOX_H

#include "../Peer/PeerMessage.h"
#include "Event.h"

#include <vector>

namespace buckthornwing {

/// \brief A message and the peer address that it is sent to.
struct OutgoingMessage
{
  Endpoint address;
  PeerMessage message;
};

/// \brief Messages to send and events to log after a call of the engine. The
/// host processes and clears it.
struct Outbox
{
  std::vector<OutgoingMessage> messages;
  std::vector<Event> events;

  void clear()
  {
    this->messages.clear();
    this->events.clear();
  }
};

}

#endif
