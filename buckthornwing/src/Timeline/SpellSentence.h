#ifndef BUCKTHORNWING_SPELL_SENTENCE_H
#define BUCKTHORNWING_SPELL_SENTENCE_H

#include "SpellRule.h"

namespace buckthornwing {

/// \param spell without its sentence
/// \param total of the seconds of the spell
/// \returns one sentence: when, where and what.
std::string
describeSpell(const TimelineReport& report,
              const SpellRule& rule,
              const Spell& spell,
              const SecondCounts& total);

}

#endif
