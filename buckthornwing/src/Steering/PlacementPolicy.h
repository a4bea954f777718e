#ifndef BUCKTHORNWING_PLACEMENT_POLICY_H
#define BUCKTHORNWING_PLACEMENT_POLICY_H

#include "TagBlackboard.h"

#include <concepts>

namespace buckthornwing {

/// \brief Requirement of a policy that chooses the target of a new flow among
/// those that reasonAgainst() has nothing against.
template<typename Policy>
concept PlacementPolicy = requires(Policy policy,
                                   TagBlackboard& board,
                                   FlowId flow,
                                   ServiceSlot service,
                                   MilliTime now)
{
  {
    policy.choose(board, flow, service, now)
    } -> std::same_as<TargetSlot>;
};

/// \brief Places flows by rendezvous hashing over the targets of this
/// instance's zone, or over those of all zones if it has none. Ignores load.
struct HashPlacement
{
  TargetSlot choose(TagBlackboard& board,
                    FlowId flow,
                    ServiceSlot service,
                    MilliTime now) const;
};

/// \brief Places flows on the target with the lowest load per request slot,
/// which counts flows and queued requests.
///
/// Targets of this instance's zone are preferred, because they stay reachable
/// when the network between zones fails. A target of another zone is chosen
/// while requests would queue longer in this instance's zone.
///
/// This matters after an outage: the fabric sends the callers of a zone whose
/// instances have not restarted yet to another zone. The targets there then
/// have queues while those of the first zone are idle.
struct LeastLoadPlacement
{
  TargetSlot choose(TagBlackboard& board,
                    FlowId flow,
                    ServiceSlot service,
                    MilliTime now) const;
};

static_assert(PlacementPolicy<HashPlacement>);
static_assert(PlacementPolicy<LeastLoadPlacement>);

/// \brief Estimated load of a target, caused by all instances.
struct EstimatedLoad
{
  double flows = 0; ///< open flows
  double busy = 0;  ///< requests in progress or queued
};

/// \returns the load of a target, estimated from this instance's own counts
/// and the counts that its peers reported.
///
/// What this instance has added since the last reports is counted once more for
/// each live peer of this instance's zone: peers that know the same reports
/// have probably made the same choices.
EstimatedLoad
estimateLoad(const TagBlackboard& board, TargetSlot slot);

/// \returns the load of a target per request slot, including one more flow;
/// placement compares targets by it. A target whose requests take twice as long
/// as is typical of its service counts as one with half the slots.
double
placementLoad(const TagBlackboard& board, TargetSlot slot);

/// \returns the average number of requests that each slot of a target must
/// finish before a new request starts, in requests that take the time that is
/// typical of its service.
double
queuedRounds(const TagBlackboard& board, TargetSlot slot);

/// \returns the service for a new flow of a route, chosen by a weighted hash of
/// the flow, or kNoServiceSlot if all weights are 0. All instances choose the
/// same service for a flow.
ServiceSlot
chooseService(const Route& route, FlowId flow);

}

#endif
