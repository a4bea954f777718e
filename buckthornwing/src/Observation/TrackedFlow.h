#ifndef BUCKTHORNWING_TRACKED_FLOW_H
#define BUCKTHORNWING_TRACKED_FLOW_H

#include "../Core/FlowKey.h"
#include "../Tagging/FlowTag.h"
#include "../View/Route.h"
#include "../View/TargetRegistry.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthornwing {

/// \brief State of a flow whose packets this instance forwards.
///
/// It serves to estimate load and to detect silent targets. Forwarding does not
/// depend on it: a packet carries all that is needed to forward it.
struct TrackedFlow
{
  FlowKey key;
  TargetSlot target = kNoTargetSlot;
  FlowTag tag;
  RouteKind kind = RouteKind::idempotent;
  bool openingSeen = false; ///< its opening passed through this instance
  bool established = false; ///< the caller completed the handshake
  bool busy = false;        ///< a request is in progress or expected
  bool closed = false;      ///< kept to recognize packets after its end
  bool requested = false;   ///< data of the request in progress was seen
  /// The request in progress found a free slot, as far as loads are known.
  bool foundFreeSlot = false;
  std::uint8_t retransmissions = 0; ///< retransmissions since the last progress
  std::uint32_t nextSequence = 0;   ///< after the last byte seen of the caller
  std::uint32_t acknowledged = 0;   ///< highest acknowledgement number seen
  MilliTime openedAt{};
  MilliTime lastPacketAt{};
  MilliTime busySince{};
  /// Time from the opening to the caller's next packet; 0 if unknown.
  MilliDuration roundTrip{};
  MilliTime sentAt{}; ///< of the newest data, or of the first packet
};

using TrackedFlows =
  boost::unordered_flat_map<FlowId, TrackedFlow, std::hash<FlowId>>;

}

#endif
