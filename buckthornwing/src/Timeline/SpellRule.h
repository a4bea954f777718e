#ifndef BUCKTHORNWING_SPELL_RULE_H
#define BUCKTHORNWING_SPELL_RULE_H

#include "Spell.h"

#include <span>

namespace buckthornwing {

/// \brief Decides which seconds of a zone stand out, in one respect.
struct SpellRule
{
  SpellKind kind = SpellKind::targets;
  std::string reason; ///< of resets
  /// \brief A second with fewer never stands out.
  std::uint64_t fewest = 1;
  /// \brief Well days have it too; a second stands out by having far more.
  bool isCommon = false;

  /// \returns how much of it a second has.
  std::uint64_t weigh(const SecondCounts& counts) const;
};

/// \returns the rules for the seconds of one zone.
std::vector<SpellRule>
spellRulesFor(std::span<const TimelineRow* const> rows);

}

#endif
