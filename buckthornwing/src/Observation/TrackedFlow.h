#ifndef BUCKTHORNWING_TRACKED_FLOW_H
#define BUCKTHORNWING_TRACKED_FLOW_H

#include "../Core/FlowKey.h"
#include "../Tagging/FlowTag.h"
#include "../View/Route.h"
#include "../View/TargetRegistry.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthornwing {

/// \brief What an instance remembers of a flow whose packets it saw.
///
/// It is a hint about load and silence: no packet needs it to be forwarded.
struct TrackedFlow
{
  FlowKey key;
  TargetSlot target = kNoTargetSlot;
  FlowTag tag;
  RouteKind kind = RouteKind::idempotent;
  bool established = false; ///< the caller answered the handshake
  bool busy = false;        ///< a request is in progress, or about to come
  bool closed = false;      ///< only kept to know trailing packets
  bool requested = false;   ///< its data was seen
  std::uint8_t repeats = 0; ///< retransmissions since the last progress
  std::uint32_t nextSequence = 0; ///< end of the caller's bytes seen
  std::uint32_t acknowledged = 0; ///< highest acknowledgement seen
  MilliTime openedAt{};
  MilliTime seenAt{};
  MilliTime busySince{};
  MilliTime sentAt{}; ///< of the newest data, or of the opening
};

using TrackedFlows =
  boost::unordered_flat_map<FlowId, TrackedFlow, std::hash<FlowId>>;

}

#endif
