#include "SpellRule.h"

#include "../Steering/SteeringDecision.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Suspicions are common, so few of them say nothing.
constexpr std::uint64_t kFewestSuspicions = 3;
/// \brief Callers may ask for what was never published.
constexpr std::uint64_t kFewestNoRoute = 10;
constexpr std::uint64_t kFewestHeld = 10;

}

std::uint64_t
SpellRule::weigh(const SecondCounts& counts) const
{
  switch (this->kind) {
    case SpellKind::targets:
      return counts.targetsSuspected +
             std::uint64_t{ counts.targetsDead } * internal::kFewestSuspicions;
    case SpellKind::resets:
      return counts.resets.countOf(this->reason);
    case SpellKind::held:
      return counts.held;
    case SpellKind::members:
      return counts.membersLost;
    case SpellKind::store:
      return counts.storeLost;
    case SpellKind::views:
      return counts.viewsBehind;
    case SpellKind::links:
      return counts.busyLinks;
    case SpellKind::stalls:
      return counts.stalls;
  }
  return 0;
}

std::vector<SpellRule>
spellRulesFor(std::span<const TimelineRow* const> rows)
{
  std::vector<SpellRule> rules{
    { SpellKind::targets, {}, internal::kFewestSuspicions, true },
    { SpellKind::held, {}, internal::kFewestHeld, true },
    { SpellKind::members, {}, 1, false },
    { SpellKind::store, {}, 1, false },
    { SpellKind::views, {}, 1, false },
    { SpellKind::links, {}, 1, true },
    { SpellKind::stalls, {}, 1, false },
  };
  Tally resets;
  for (const TimelineRow* row : rows) {
    resets.add(row->counts.resets);
  }
  for (const NamedCount& reset : resets.counts()) {
    const bool isNoRoute =
      reset.name == steeringReasonName(SteeringReason::noRoute);
    rules.push_back({ SpellKind::resets,
                      reset.name,
                      isNoRoute ? internal::kFewestNoRoute : 1,
                      isNoRoute });
  }
  return rules;
}

}
