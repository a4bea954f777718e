#ifndef BUCKTHORNWING_TARGET_LOAD_H
#define BUCKTHORNWING_TARGET_LOAD_H

#include "../Core/MilliTime.h"
#include "RelativeServiceTime.h"
#include "ServiceTimeEstimator.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Load of one target as seen by this instance, and as reported by its
/// peers.
struct TargetLoad
{
  std::int32_t flows = 0; ///< open flows whose packets this instance forwards
  std::int32_t busy = 0;  ///< flows of these with a request in progress
  /// Last time the target answered: a handshake, new response data or a probe.
  MilliTime progressAt{};
  /// The target was seen to answer, by this instance or by a peer. \a
  /// progressAt alone does not show that: a flow that was opened through
  /// another instance may have had its answers long ago.
  bool hasAnswered = false;
  std::int32_t silentFlows = 0;   ///< flows with unanswered retransmissions
  double peerFlows = 0;           ///< sum of the flows that peers reported
  double peerBusy = 0;            ///< sum of the busy flows that peers reported
  std::int32_t flowsAtReport = 0; ///< \a flows when \a peerFlows was computed
  std::int32_t busyAtReport = 0;  ///< \a busy when \a peerBusy was computed
  MilliTime peerProgressAt{};     ///< newest progress that a peer reported
  double slots = 0;               ///< requests that the target runs at once
  std::uint64_t incarnation = 0;  ///< of the target, as it is registered
  ServiceTimeEstimator serviceTime;    ///< from flows of this instance
  ServiceTimeEstimate peerServiceTime; ///< from the peers' reports
  RelativeServiceTime relativeServiceTime = 1;
  MilliTime speedChangedAt{}; ///< last change of the target's SpeedClass
};

/// \returns the service time of a target as estimated by this instance and its
/// peers.
inline ServiceTimeEstimate
serviceTimeOf(const TargetLoad& load, MilliTime now)
{
  return combine(load.serviceTime.estimate(now), load.peerServiceTime);
}

}

#endif
