#ifndef BUCKTHORNWING_UNDECIDED_FLOWS_H
#define BUCKTHORNWING_UNDECIDED_FLOWS_H

#include "../Core/FlowKey.h"
#include "../Core/MilliTime.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthornwing {

/// \brief Remembers when packets of flows were first seen that this instance's
/// view can't decide yet.
class UndecidedFlows
{
public:
  /// \returns when the first packet of a flow was seen. A flow that was silent
  /// for longer than its caller's retransmissions are apart counts as a new
  /// one.
  MilliTime firstSeen(FlowId flow, MilliTime now);

  /// \brief Forgets a flow that was decided.
  void remove(FlowId flow) { this->sightings.erase(flow); }

private:
  /// \brief Packets of one flow.
  struct Sighting
  {
    MilliTime first{};
    MilliTime last{};
  };

  boost::unordered_flat_map<FlowId, Sighting, std::hash<FlowId>> sightings;
};

}

#endif
