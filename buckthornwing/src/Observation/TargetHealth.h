#ifndef BUCKTHORNWING_TARGET_HEALTH_H
#define BUCKTHORNWING_TARGET_HEALTH_H

#include "../Core/MilliTime.h"

#include <cstdint>

namespace buckthornwing {

/// \brief What an instance holds a target's reachability to be.
enum class HealthState : std::uint8_t
{
  trusted,
  suspected, ///< silent towards callers, or a peer found it dead
  dead,      ///< probes found that it does not answer
};

/// \brief A probe without an answer for so long is silent; several round trips
/// between zones.
inline constexpr MilliDuration kProbeTimeout{ 250 };
/// \brief An answer that comes within this time after it is still heard.
inline constexpr MilliDuration kLateAnswerTime{ 1750 };

/// \brief What a probe of a target found.
enum class ProbeResult : std::uint8_t
{
  alive,
  refused,     ///< its machine answers, but nothing listens
  silent,      ///< no connection within the time limit
  otherTarget, ///< another target has its address now
};

/// \returns a stable lower-case name for the log.
constexpr const char*
probeResultName(ProbeResult result)
{
  switch (result) {
    case ProbeResult::alive:
      return "alive";
    case ProbeResult::refused:
      return "refused";
    case ProbeResult::silent:
      return "silent";
    case ProbeResult::otherTarget:
      return "other target";
  }
  return "unknown";
}

/// \brief A target's reachability as this instance sees it.
struct TargetHealth
{
  HealthState state = HealthState::trusted;
  std::uint8_t failedProbes = 0; ///< in a row
  bool probing = false;
  bool hasLeft = false; ///< dead, and the registry said that it left
  MilliTime changedAt{};
  MilliTime probedAt{}; ///< start of the newest probe
  MilliTime nextProbeAt{};
  MilliTime avoidUntil{}; ///< a peer found it dead
  MilliTime
    otherControlsUntil{}; ///< was silent as a control, so others go first
};

}

#endif
