#include "DeathDetection.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Evidence that the target is alive counts as a contradiction if it was
/// logged at most this long before or after the detection.
constexpr MilliDuration kContradictionWindow{ 1500 };
/// \brief A reset counts as caused by a detection if it was logged at most this
/// long after it.
constexpr MilliDuration kMaxResetDelay{ 100 };
/// \brief The same before the detection: the first resets that it causes may be
/// logged just before the detection itself.
constexpr MilliDuration kMaxResetLead{ 10 };

/// \returns whether \a event shows that another instance considered the target
/// alive.
bool
isContradiction(const TargetEvent& event, const DeathDetection& detection)
{
  return event.instance != detection.instance &&
         (event.kind == TargetEventKind::trusted ||
          event.kind == TargetEventKind::probedAlive);
}

/// \brief Records \a event as the contradiction of \a detection unless one that
/// is closer in time is recorded already.
void
addContradiction(DeathDetection& detection, const TargetEvent& event)
{
  const MilliDuration offset = event.time - detection.time;
  const bool isCloser =
    !detection.contradiction ||
    std::abs(offset.ms) < std::abs(detection.contradiction->offset.ms);
  if (isCloser) {
    detection.contradiction = Contradiction{ event.instance, offset };
  }
}

/// \returns whether \a event is the reset of a flow that \a detection caused.
bool
isCausedReset(const TargetEvent& event, const DeathDetection& detection)
{
  return event.kind == TargetEventKind::reset &&
         event.instance == detection.instance &&
         event.time + kMaxResetLead >= detection.time &&
         event.time <= detection.time + kMaxResetDelay;
}

void
addEvidence(DeathDetection& detection, const TargetEvent& event)
{
  if (isContradiction(event, detection)) {
    addContradiction(detection, event);
  } else if (isCausedReset(event, detection)) {
    detection.resetFlows.push_back(event.detail);
  }
}

/// \brief Makes the detection for one event of kind \c TargetEventKind::dead,
/// with its contradiction and the flows that were reset.
/// \param targetEvents events of all targets, sorted by target, then time
/// \param at index of the event
DeathDetection
makeDetection(const TargetEventList& targetEvents, std::size_t at)
{
  const TargetEvent& death = targetEvents[at];
  DeathDetection detection{ death.time,   death.target, death.instance,
                            death.detail, {},           {} };
  const auto isInWindow = [&](const TargetEvent& other) {
    return other.target == death.target &&
           other.time + kContradictionWindow >= death.time &&
           other.time <= death.time + kContradictionWindow;
  };
  std::size_t first = at;
  while (first > 0 && isInWindow(targetEvents[first - 1])) {
    --first;
  }
  for (std::size_t i = first;
       i < targetEvents.size() && isInWindow(targetEvents[i]);
       ++i) {
    addEvidence(detection, targetEvents[i]);
  }
  return detection;
}

}

std::vector<DeathDetection>
findDeathDetections(const TargetEventList& targetEvents)
{
  std::vector<DeathDetection> detections;
  for (std::size_t i = 0; i < targetEvents.size(); ++i) {
    if (targetEvents[i].kind == TargetEventKind::dead) {
      detections.push_back(internal::makeDetection(targetEvents, i));
    }
  }
  std::stable_sort(detections.begin(),
                   detections.end(),
                   [](const DeathDetection& left, const DeathDetection& right) {
                     return left.time < right.time;
                   });
  return detections;
}

}
