#ifndef BUCKTHORNWING_OUTBOX_H
#define BUCKTHORNWING_OUTBOX_H

#include "../Peer/PeerMessage.h"
#include "Event.h"

#include <vector>

namespace buckthornwing {

/// \brief A message and the instance that it goes to.
struct OutgoingMessage
{
  Endpoint address;
  PeerMessage message;
};

/// \brief What a call into the engine wants done; the host empties it.
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
