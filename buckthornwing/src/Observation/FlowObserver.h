#ifndef BUCKTHORNWING_FLOW_OBSERVER_H
#define BUCKTHORNWING_FLOW_OBSERVER_H

#include "../Tagging/CallerPacket.h"
#include "LatencyHistogram.h"
#include "TargetLoad.h"
#include "TrackedFlow.h"

#include <vector>

namespace buckthornwing {

/// \brief What one packet showed.
enum class Observation : std::uint8_t
{
  nothing,
  opened,        ///< first packet of a new flow
  openingCopied, ///< the target did not answer the handshake so far
  established,   ///< the caller has the target's answer to the handshake
  requested,     ///< new request data
  progressed,    ///< the caller received more of an answer
  repeated,      ///< request data sent again: the target is silent
  closed,
};

/// \brief Learns load and silence of targets from callers' packets alone.
///
/// Answers do not pass the instance, but callers acknowledge them.
class FlowObserver
{
public:
  /// \brief Notes a packet that was forwarded to a target.
  Observation onForwarded(const CallerPacket& packet,
                          FlowId id,
                          TargetSlot target,
                          RouteKind kind,
                          FlowTag tag,
                          MilliTime now);

  /// \brief Ends a flow that was reset by this instance.
  void onReset(FlowId id);

  /// \brief Forgets flows that were idle for longer than \a idle.
  void sweep(MilliTime now, MilliDuration idle);

  /// \brief Forgets what was learned of a target, for its next incarnation.
  void forgetTarget(TargetSlot target);

  /// \returns an open flow, or null.
  const TrackedFlow* find(FlowId id) const;
  const TargetLoad& load(TargetSlot target) const;
  TargetLoad& loadFor(TargetSlot target);
  std::size_t flowCount() const { return this->flows.size(); }
  const TrackedFlows& all() const { return this->flows; }
  /// \returns the times from a request to the first sign of its answer.
  const LatencyHistogram& serviceTimes() const { return this->answered; }

private:
  TrackedFlows flows;
  std::vector<TargetLoad> loads;
  LatencyHistogram answered;

  Observation observe(TrackedFlow& flow,
                      const CallerPacket& packet,
                      MilliTime now);
  Observation observeData(TrackedFlow& flow,
                          const CallerPacket& packet,
                          MilliTime now);
  void countRepeat(TrackedFlow& flow);
  void progress(TrackedFlow& flow, MilliTime now);
  void noteLife(TrackedFlow& flow, MilliTime now);
  void startBusy(TrackedFlow& flow);
  void endBusy(TrackedFlow& flow);
  TrackedFlows::iterator enter(TrackedFlows::iterator known,
                               const CallerPacket& packet,
                               FlowId id,
                               TargetSlot target,
                               MilliTime now);
  void close(TrackedFlows::iterator flow);
  void leave(const TrackedFlow& flow);
};

}

#endif
