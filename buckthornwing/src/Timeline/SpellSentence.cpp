#include "SpellSentence.h"

#include "TimelineText.h"

#include <set>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kSecond{ 1000 };

bool
isWithin(MilliTime time, const Spell& spell)
{
  return time >= spell.first && time < spell.last + kSecond;
}

/// \brief What became of the targets that a zone suspected.
struct SuspectedTargets
{
  std::set<NameIndex> all;
  std::set<NameIndex> notTrusted; ///< by one instance at least
  MilliDuration longest{};        ///< until the last was trusted again
};

SuspectedTargets
collectSuspected(const TimelineReport& report, const Spell& spell)
{
  SuspectedTargets targets;
  for (const Suspicion& suspicion : report.suspicions) {
    if (!isWithin(suspicion.time, spell) ||
        report.zoneOf(suspicion.instance) != spell.zone) {
      continue;
    }
    targets.all.insert(suspicion.target);
    if (suspicion.lasted) {
      targets.longest = std::max(targets.longest, *suspicion.lasted);
    } else {
      targets.notTrusted.insert(suspicion.target);
    }
  }
  return targets;
}

std::string
describeSuspected(const TimelineReport& report, const Spell& spell)
{
  const SuspectedTargets targets = collectSuspected(report, spell);
  if (targets.all.empty()) {
    return {};
  }
  const std::size_t trusted = targets.all.size() - targets.notTrusted.size();
  std::string text = formatCount(targets.all.size(), "target") + " suspected, ";
  if (trusted == 0) {
    return text + "none trusted again everywhere";
  }
  text += targets.notTrusted.empty() ? "all" : std::to_string(trusted);
  return text + " trusted again within " + std::to_string(targets.longest.ms) +
         " ms";
}

/// \brief What became of the targets that a zone found dead.
struct DeadTargets
{
  std::set<NameIndex> all;
  std::set<NameIndex> contradicted;
  MilliDuration farthest{}; ///< from a verdict to what contradicts it
  std::size_t resets = 0;
};

DeadTargets
collectDead(const TimelineReport& report, const Spell& spell)
{
  DeadTargets targets;
  for (const DeathVerdict& verdict : report.verdicts) {
    if (!isWithin(verdict.time, spell) ||
        report.zoneOf(verdict.instance) != spell.zone) {
      continue;
    }
    targets.all.insert(verdict.target);
    targets.resets += verdict.resetFlows.size();
    if (verdict.contradiction) {
      const std::int64_t distance = std::abs(verdict.contradiction->offset.ms);
      targets.contradicted.insert(verdict.target);
      targets.farthest = std::max(targets.farthest, MilliDuration{ distance });
    }
  }
  return targets;
}

std::string
describeDead(const TimelineReport& report, const Spell& spell)
{
  const DeadTargets targets = collectDead(report, spell);
  if (targets.all.empty()) {
    return {};
  }
  std::string text = formatCount(targets.all.size(), "target") + " found dead";
  if (targets.contradicted.empty()) {
    text += ", trusted by no other instance";
  } else {
    text += targets.contradicted.size() == targets.all.size()
              ? ", "
              : ", " + std::to_string(targets.contradicted.size()) + " ";
    text += "trusted by another instance within " +
            std::to_string(targets.farthest.ms) + " ms";
  }
  if (targets.resets != 0) {
    text += ", " + formatCount(targets.resets, "reset") + " at once";
  }
  return text;
}

std::string
describeTargets(const TimelineReport& report, const Spell& spell)
{
  const std::string suspected = describeSuspected(report, spell);
  const std::string dead = describeDead(report, spell);
  const bool both = !suspected.empty() && !dead.empty();
  return suspected + (both ? "; " : "") + dead;
}

std::string
describeWhat(const TimelineReport& report,
             const SpellRule& rule,
             const Spell& spell,
             const SecondCounts& total)
{
  switch (rule.kind) {
    case SpellKind::targets:
      return describeTargets(report, spell);
    case SpellKind::resets:
      return formatCount(rule.weigh(total), "reset") + " for " + rule.reason;
    case SpellKind::held:
      return formatCount(total.held, "packet") + " held";
    case SpellKind::members:
      return "members lost " + formatCount(total.membersLost, "time") +
             ", back " + formatCount(total.membersBack, "time");
    case SpellKind::store:
      return "store lost " + formatCount(total.storeLost, "time") + ", back " +
             formatCount(total.storeBack, "time");
    case SpellKind::views:
      return "views behind by up to " + std::to_string(total.mostViewAge.ms) +
             " ms";
    case SpellKind::links:
      return "busy links, queues of up to " +
             std::to_string(total.mostBacklog.ms) + " ms";
    case SpellKind::stalls:
      return "processes stood still " + formatCount(total.stalls, "time");
  }
  return {};
}

}

std::string
describeSpell(const TimelineReport& report,
              const SpellRule& rule,
              const Spell& spell,
              const SecondCounts& total)
{
  std::string text = formatClock(spell.first);
  if (spell.last != spell.first) {
    text += " to " + formatClock(spell.last);
  }
  return text + " zone " + spell.zone + ": " +
         internal::describeWhat(report, rule, spell, total);
}

}
