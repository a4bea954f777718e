#ifndef BUCKTHORNWING_FLOW_OBSERVER_H
#define BUCKTHORNWING_FLOW_OBSERVER_H

#include "../Tagging/CallerPacket.h"
#include "LatencyHistogram.h"
#include "RequestKindTimes.h"
#include "TargetLoad.h"
#include "TrackedFlow.h"

#include <vector>

namespace buckthornwing {

/// \brief What one packet of a caller shows about its flow and target.
enum class Observation : std::uint8_t
{
  nothing,
  opened,               ///< first packet of a new flow
  openingRetransmitted, ///< retransmitted SYN: the target has not answered
                        ///< it yet
  established,       ///< the caller received the target's part of the handshake
  requested,         ///< new request data
  requestedAgain,    ///< first data of a further request on an open flow
  progressed,        ///< the caller acknowledged more response data
  dataRetransmitted, ///< retransmitted request data: the target does not
                     ///< respond
  closed,
};

/// \brief Estimates the load and detects the silence of targets from the
/// packets that callers send.
///
/// Responses take another path and don't pass the instance. Their progress is
/// derived from the acknowledgement numbers in the callers' packets.
class FlowObserver
{
public:
  /// \brief Records a packet that was forwarded to a target.
  /// \param id identifies the flow
  /// \param kind what may be done with the flow's requests after a failure
  /// \param tag tag of the flow; kept with \a kind when the flow is new
  /// \returns what the packet shows
  Observation onForwarded(const CallerPacket& packet,
                          FlowId id,
                          TargetSlot target,
                          RouteKind kind,
                          FlowTag tag,
                          MilliTime now);

  /// \brief Closes a flow that this instance reset.
  void onReset(FlowId id);

  /// \brief Removes open flows that were idle for longer than \a idle, and
  /// closed flows after a fixed time.
  void sweep(MilliTime now, MilliDuration idle);

  /// \brief Removes all flows and load values of a target, so that its next
  /// incarnation starts without them.
  void forgetTarget(TargetSlot target);

  /// \brief Records the registration of a target. A new incarnation starts
  /// without the service times of the one before.
  /// \param slots number of requests that it runs at once
  void onTargetListed(TargetSlot target,
                      double slots,
                      std::uint64_t incarnation);

  /// \brief Removes what is known of a target's speed.
  void forgetSpeed(TargetSlot target);

  /// \returns an open flow, or null if it is unknown or closed.
  const TrackedFlow* find(FlowId id) const;
  /// \returns a flow that is open or was closed a short time ago, or null.
  const TrackedFlow* findOpenOrClosed(FlowId id) const;
  /// \returns the load of a target; an empty one if nothing is known of it.
  const TargetLoad& load(TargetSlot target) const;
  /// \returns the load of a target, created if it is missing.
  TargetLoad& mutableLoad(TargetSlot target);
  /// \returns the number of tracked flows, including closed ones.
  std::size_t flowCount() const { return this->flows.size(); }
  const TrackedFlows& all() const { return this->flows; }
  /// \returns the times from a request to the first acknowledgement of response
  /// data.
  const LatencyHistogram& serviceTimes() const
  {
    return this->serviceTimeHistogram;
  }

private:
  TrackedFlows flows;
  std::vector<TargetLoad> loads;
  LatencyHistogram serviceTimeHistogram;
  RequestKindTimes kindTimes;
  MilliTime firstPacketAt{};

  Observation observe(TrackedFlow& flow,
                      const CallerPacket& packet,
                      MilliTime now);
  Observation observeData(TrackedFlow& flow,
                          const CallerPacket& packet,
                          MilliTime now);
  void countRetransmission(TrackedFlow& flow);
  void recordProgress(TrackedFlow& flow,
                      const CallerPacket& packet,
                      MilliTime now);
  /// \brief Adds a sample to the target's service time if its request found a
  /// free slot.
  void addServiceTime(const TrackedFlow& flow, MilliTime now);
  /// \returns whether the target has a slot for the flow's request; false while
  /// the loads of targets are not known yet.
  bool hasFreeSlot(const TrackedFlow& flow, MilliTime now) const;
  void recordResponse(TrackedFlow& flow, MilliTime now);
  void markBusy(TrackedFlow& flow);
  void markIdle(TrackedFlow& flow);
  TrackedFlows::iterator insertFlow(TrackedFlows::iterator known,
                                    const CallerPacket& packet,
                                    FlowId id,
                                    TargetSlot target,
                                    MilliTime now);
  void close(TrackedFlows::iterator flow);
  void removeFromLoad(const TrackedFlow& flow);
};

}

#endif
