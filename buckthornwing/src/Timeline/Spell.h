#ifndef BUCKTHORNWING_SPELL_H
#define BUCKTHORNWING_SPELL_H

#include "TimelineReport.h"

namespace buckthornwing {

/// \brief What is out of the ordinary in a spell.
enum class SpellKind : std::uint8_t
{
  targets, ///< suspected or dead
  resets,  ///< of one reason
  held,
  members,
  store,
  views,
  links,
  stalls,
};

/// \returns a stable lower-case name.
const char*
spellKindName(SpellKind kind);

/// \brief Seconds in a row in which one thing stands out in one zone.
struct Spell
{
  SpellKind kind = SpellKind::targets;
  std::string zone;
  MilliTime first{}; ///< the start of its first second
  MilliTime last{};  ///< the start of its last second
  std::string sentence;
};

/// \returns the spells of a report, by their first second.
std::vector<Spell>
findSpells(const TimelineReport& report);

}

#endif
