#ifndef BUCKTHORNWING_UNKNOWN_ROUTES_H
#define BUCKTHORNWING_UNKNOWN_ROUTES_H

#include "TagBoard.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthornwing {

/// \brief Tells open flows whose route was dropped from those whose route this
/// instance has not heard of yet.
///
/// A flow's route was published before the flow was opened. So if the routes,
/// confirmed after a packet of the flow was seen, do not hold it, it was
/// dropped.
class UnknownRoutes
{
public:
  /// \returns whether the route of an open flow was dropped.
  bool isDropped(const TagBoard& board,
                 const Endpoint& destination,
                 FlowId flow,
                 MilliTime now);

private:
  boost::unordered_flat_map<FlowId, MilliTime, std::hash<FlowId>> firstSeen;
};

}

#endif
