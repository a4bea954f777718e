#include "Spell.h"

#include "SpellRule.h"
#include "SpellSentence.h"

#include <algorithm>
#include <map>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kSecond{ 1000 };
/// \brief Seconds that stand out and are this far apart are one spell.
constexpr MilliDuration kMostGap{ 2000 };
/// \brief A second stands out with more than so many times the usual.
constexpr std::uint64_t kTimesUsual = 3;
/// \brief Fewer seconds do not tell what is usual.
constexpr std::size_t kFewestSeconds = 10;

using ZoneRows = std::vector<const TimelineRow*>;

std::map<std::string_view, ZoneRows>
rowsByZone(const TimelineReport& report)
{
  std::map<std::string_view, ZoneRows> zones;
  for (const TimelineRow& row : report.rows) {
    zones[row.zone].push_back(&row);
  }
  return zones;
}

/// \returns the median of all seconds from the first row to the last, where a
/// second without a row has none; 0 if nothing is known to be usual.
std::uint64_t
usualWeight(const SpellRule& rule, const ZoneRows& rows)
{
  const MilliDuration span = rows.back()->second - rows.front()->second;
  const auto seconds = static_cast<std::size_t>(span.ms / kSecond.ms + 1);
  if (!rule.isCommon || seconds < kFewestSeconds) {
    return 0;
  }
  std::vector<std::uint64_t> weights;
  for (const TimelineRow* row : rows) {
    weights.push_back(rule.weigh(row->counts));
  }
  const std::size_t empty = seconds - rows.size();
  const std::size_t middle = seconds / 2;
  if (middle < empty) {
    return 0;
  }
  const auto at = weights.begin() + static_cast<std::ptrdiff_t>(middle - empty);
  std::nth_element(weights.begin(), at, weights.end());
  return *at;
}

/// \brief A spell and what its seconds sum up to.
struct SummedSpell
{
  Spell spell;
  SecondCounts total;
};

std::vector<SummedSpell>
joinSeconds(const SpellRule& rule, const ZoneRows& rows)
{
  const std::uint64_t usual = usualWeight(rule, rows);
  std::vector<SummedSpell> spells;
  for (const TimelineRow* row : rows) {
    const std::uint64_t weight = rule.weigh(row->counts);
    if (weight < rule.fewest || weight <= usual * kTimesUsual) {
      continue;
    }
    const bool isNew =
      spells.empty() || row->second > spells.back().spell.last + kMostGap;
    if (isNew) {
      Spell spell{ rule.kind, row->zone, row->second, row->second, {} };
      spells.push_back({ std::move(spell), {} });
    }
    spells.back().spell.last = row->second;
    spells.back().total.add(row->counts);
  }
  return spells;
}

}

const char*
spellKindName(SpellKind kind)
{
  switch (kind) {
    case SpellKind::targets:
      return "targets";
    case SpellKind::resets:
      return "resets";
    case SpellKind::held:
      return "held";
    case SpellKind::members:
      return "members";
    case SpellKind::store:
      return "store";
    case SpellKind::views:
      return "views";
    case SpellKind::links:
      return "links";
    case SpellKind::stalls:
      return "stalls";
  }
  return "unknown";
}

std::vector<Spell>
findSpells(const TimelineReport& report)
{
  std::vector<Spell> spells;
  for (const auto& [zone, rows] : internal::rowsByZone(report)) {
    for (const SpellRule& rule : spellRulesFor(rows)) {
      for (auto& [spell, total] : internal::joinSeconds(rule, rows)) {
        spell.sentence = describeSpell(report, rule, spell, total);
        spells.push_back(std::move(spell));
      }
    }
  }
  std::stable_sort(
    spells.begin(), spells.end(), [](const Spell& left, const Spell& right) {
      return left.first < right.first;
    });
  return spells;
}

}
