#include "UnknownRoutes.h"

namespace buckthornwing {

bool
UnknownRoutes::isRemoved(const TagBlackboard& board,
                         const CallerPacket& packet,
                         FlowId flow,
                         MilliTime now)
{
  if (board.routesCompleteAt < this->firstSeen(board, packet, flow, now)) {
    return false;
  }
  this->undecided.remove(flow);
  return true;
}

MilliTime
UnknownRoutes::firstSeen(const TagBlackboard& board,
                         const CallerPacket& packet,
                         FlowId flow,
                         MilliTime now)
{
  // A reset that was lost is sent again, so a closed flow counts too.
  const TrackedFlow* tracked = board.observer.findOpenOrClosed(flow);
  const bool isCarried = tracked != nullptr && tracked->tag == packet.tag;
  return isCarried ? tracked->openedAt : this->undecided.firstSeen(flow, now);
}

}
