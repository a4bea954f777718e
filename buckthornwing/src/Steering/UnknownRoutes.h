#ifndef BUCKTHORNWING_UNKNOWN_ROUTES_H
#define BUCKTHORNWING_UNKNOWN_ROUTES_H

#include "TagBlackboard.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthornwing {

/// \brief Distinguishes open flows whose route was removed from those whose
/// route this instance has not received yet.
///
/// A route is published before flows to it are opened. If routes that were
/// confirmed after a packet of the flow was seen do not contain the flow's
/// route, the route was removed.
class UnknownRoutes
{
public:
  /// \returns whether the route of an open flow was removed.
  /// \param destination destination of the flow, which no present route has
  bool isRemoved(const TagBlackboard& board,
                 const Endpoint& destination,
                 FlowId flow,
                 MilliTime now);

private:
  /// Time at which a packet of each undecided flow was first seen.
  boost::unordered_flat_map<FlowId, MilliTime, std::hash<FlowId>> firstSeen;
};

}

#endif
