#ifndef BUCKTHORNWING_UNKNOWN_TARGETS_H
#define BUCKTHORNWING_UNKNOWN_TARGETS_H

#include "TagBoard.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthornwing {

/// \brief Tells flows whose target has left for good from those whose target
/// this instance has not heard of yet.
///
/// A flow's target was registered before the flow was opened. So if the
/// registry, read after a packet of the flow was seen, does not list it, it has
/// left, unless the registry lost entries a moment ago. A process that has just
/// read the registry for the first time can't know whether it did.
class UnknownTargets
{
public:
  /// \param isRepeatable a mistake costs the caller no more than another try
  /// \returns whether the target of a flow with an unknown tag has left.
  bool isGoneForGood(const TagBoard& board,
                     FlowId flow,
                     bool isRepeatable,
                     MilliTime now);

  /// \returns whether a full read of the registry would settle a flow; at most
  /// once a second.
  bool wantsListing(MilliTime now);

private:
  bool isWaiting = false;
  MilliTime nextListing{};
  boost::unordered_flat_map<FlowId, MilliTime, std::hash<FlowId>> firstSeen;
};

}

#endif
