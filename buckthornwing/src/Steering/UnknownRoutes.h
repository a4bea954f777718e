#ifndef BUCKTHORNWING_UNKNOWN_ROUTES_H
#define BUCKTHORNWING_UNKNOWN_ROUTES_H

#include "TagBlackboard.h"
#include "UndecidedFlows.h"

namespace buckthornwing {

/// \brief Distinguishes open flows whose route was removed from those whose
/// route this instance has not received yet.
///
/// A route is published before flows to it are opened. If the routes are
/// complete up to a time after a packet of the flow was seen and do not contain
/// the flow's route, the route was removed. That this instance saw the route
/// being removed earlier proves nothing: a version that it lacks may have
/// restored it since.
class UnknownRoutes
{
public:
  /// \returns whether the route of an open flow was removed.
  /// \param packet of the flow; no present route has its destination
  bool isRemoved(const TagBlackboard& board,
                 const CallerPacket& packet,
                 FlowId flow,
                 MilliTime now);

private:
  UndecidedFlows undecided;

  /// \returns when this instance first saw a packet of the flow.
  MilliTime firstSeen(const TagBlackboard& board,
                      const CallerPacket& packet,
                      FlowId flow,
                      MilliTime now);
};

}

#endif
