#ifndef BUCKTHORNWING_PLACEMENT_POLICY_H
#define BUCKTHORNWING_PLACEMENT_POLICY_H

#include "TagBoard.h"

#include <concepts>

namespace buckthornwing {

/// \brief Chooses the target of a new flow.
template<typename Policy>
concept PlacementPolicy = requires(Policy policy,
                                   TagBoard& board,
                                   FlowId flow,
                                   ServiceSlot service,
                                   MilliTime now)
{
  {
    policy.choose(board, flow, service, now)
    } -> std::same_as<TargetSlot>;
};

/// \brief Rendezvous hashing over the targets of the own zone, or of all
/// zones if it has none. Looks at no load.
struct HashPlacement
{
  TargetSlot choose(TagBoard& board,
                    FlowId flow,
                    ServiceSlot service,
                    MilliTime now) const;
};

/// \brief The target with the fewest flows and requests for each slot.
///
/// The own zone comes first, because its targets stay reachable when zones
/// lose each other. Another zone is taken while requests would queue longer in
/// the own one.
///
/// Load pattern: after an outage the fabric hands callers of a zone whose
/// instances are not back yet to a neighbour, whose targets then have queues
/// while those of the other zone are idle.
struct LeastLoadPlacement
{
  TargetSlot choose(TagBoard& board,
                    FlowId flow,
                    ServiceSlot service,
                    MilliTime now) const;
};

static_assert(PlacementPolicy<HashPlacement>);
static_assert(PlacementPolicy<LeastLoadPlacement>);

/// \brief Flows and requests in progress at a target, of all instances.
struct EstimatedLoad
{
  double flows = 0;
  double busy = 0;
};

/// \returns the load by own and reported counts. What this instance added
/// since the reports is counted for each peer, because peers with the same
/// reports have probably chosen alike.
EstimatedLoad
estimateLoad(const TagBoard& board, TargetSlot slot);

/// \returns the load of a target per request slot, as placement compares it.
double
placementLoad(const TagBoard& board, TargetSlot slot);

/// \returns how many requests each slot of a target must finish before it
/// takes up a new one.
double
queuedRounds(const TagBoard& board, TargetSlot slot);

/// \returns the service that takes a new flow of a route, by weight. All
/// instances choose alike for one flow.
ServiceSlot
chooseService(const Route& route, FlowId flow);

}

#endif
