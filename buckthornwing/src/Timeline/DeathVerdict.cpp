#include "DeathVerdict.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief A sign of life this long before or after contradicts a verdict.
constexpr MilliDuration kContradictsWithin{ 1500 };
constexpr MilliDuration kResetsWithin{ 100 };
/// \brief A verdict's first resets may be logged just before the verdict.
constexpr MilliDuration kResetsBefore{ 10 };

bool
isContradiction(const TargetSighting& sighting, const DeathVerdict& verdict)
{
  return sighting.instance != verdict.instance &&
         (sighting.kind == SightingKind::trusted ||
          sighting.kind == SightingKind::probedAlive);
}

void
contradict(DeathVerdict& verdict, const TargetSighting& sighting)
{
  const MilliDuration offset = sighting.time - verdict.time;
  const bool isNearer =
    !verdict.contradiction ||
    std::abs(offset.ms) < std::abs(verdict.contradiction->offset.ms);
  if (isNearer) {
    verdict.contradiction = Contradiction{ sighting.instance, offset };
  }
}

/// \returns whether the verdict is what reset the flow of \a sighting.
bool
isResult(const TargetSighting& sighting, const DeathVerdict& verdict)
{
  return sighting.kind == SightingKind::reset &&
         sighting.instance == verdict.instance &&
         sighting.time + kResetsBefore >= verdict.time &&
         sighting.time <= verdict.time + kResetsWithin;
}

void
takeEvidence(DeathVerdict& verdict, const TargetSighting& sighting)
{
  if (isContradiction(sighting, verdict)) {
    contradict(verdict, sighting);
  } else if (isResult(sighting, verdict)) {
    verdict.resetFlows.push_back(sighting.detail);
  }
}

/// \param sightings of all targets
/// \param at the index of the verdict's own sighting
DeathVerdict
judge(const SightingList& sightings, std::size_t at)
{
  const TargetSighting& own = sightings[at];
  DeathVerdict verdict{
    own.time, own.target, own.instance, own.detail, {}, {}
  };
  const auto isNear = [&](const TargetSighting& other) {
    return other.target == own.target &&
           other.time + kContradictsWithin >= own.time &&
           other.time <= own.time + kContradictsWithin;
  };
  std::size_t first = at;
  while (first > 0 && isNear(sightings[first - 1])) {
    --first;
  }
  for (std::size_t i = first; i < sightings.size() && isNear(sightings[i]);
       ++i) {
    takeEvidence(verdict, sightings[i]);
  }
  return verdict;
}

}

std::vector<DeathVerdict>
findDeathVerdicts(const SightingList& sightings)
{
  std::vector<DeathVerdict> verdicts;
  for (std::size_t i = 0; i < sightings.size(); ++i) {
    if (sightings[i].kind == SightingKind::dead) {
      verdicts.push_back(internal::judge(sightings, i));
    }
  }
  std::stable_sort(verdicts.begin(),
                   verdicts.end(),
                   [](const DeathVerdict& left, const DeathVerdict& right) {
                     return left.time < right.time;
                   });
  return verdicts;
}

}
