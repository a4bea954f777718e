#include "AnomalyRule.h"

#include "../Steering/SteeringDecision.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Minimum number of suspicions in an anomalous second; a few
/// suspicions are normal. Each detected death counts as this many suspicions.
constexpr std::uint64_t kMinSuspicions = 3;
/// \brief Minimum number of resets for a missing route in an anomalous second;
/// a few are normal, as callers may connect to destinations that were never
/// published.
constexpr std::uint64_t kMinNoRouteResets = 10;
/// \brief Minimum number of held packets in an anomalous second.
constexpr std::uint64_t kMinHeldPackets = 10;

}

std::uint64_t
AnomalyRule::scoreOf(const SecondCounts& counts) const
{
  switch (this->kind) {
    case AnomalyKind::targets:
      return counts.targetsSuspected +
             std::uint64_t{ counts.targetsDead } * internal::kMinSuspicions;
    case AnomalyKind::resets:
      return counts.resets.countOf(this->reason);
    case AnomalyKind::held:
      return counts.held;
    case AnomalyKind::members:
      return counts.membersLost;
    case AnomalyKind::store:
      return counts.storeLost;
    case AnomalyKind::views:
      return counts.staleViews;
    case AnomalyKind::links:
      return counts.busyLinks;
    case AnomalyKind::stalls:
      return counts.stalls;
  }
  return 0;
}

std::vector<AnomalyRule>
anomalyRulesFor(std::span<const TimelineRow* const> rows)
{
  std::vector<AnomalyRule> rules{
    { AnomalyKind::targets, {}, internal::kMinSuspicions, true },
    { AnomalyKind::held, {}, internal::kMinHeldPackets, true },
    { AnomalyKind::members, {}, 1, false },
    { AnomalyKind::store, {}, 1, false },
    { AnomalyKind::views, {}, 1, false },
    { AnomalyKind::links, {}, 1, true },
    { AnomalyKind::stalls, {}, 1, false },
  };
  Tally resets;
  for (const TimelineRow* row : rows) {
    resets.add(row->counts.resets);
  }
  for (const NamedCount& reset : resets.counts()) {
    const bool isNoRoute =
      reset.name == steeringReasonName(SteeringReason::noRoute);
    rules.push_back({ AnomalyKind::resets,
                      reset.name,
                      isNoRoute ? internal::kMinNoRouteResets : 1,
                      isNoRoute });
  }
  return rules;
}

}
