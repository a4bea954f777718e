#ifndef BUCKTHORNWING_TARGET_HEALTH_H
#define BUCKTHORNWING_TARGET_HEALTH_H

#include "../Core/MilliTime.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Reachability of a target in the judgement of one instance.
enum class HealthState : std::uint8_t
{
  trusted,
  suspected, ///< it may be unreachable, see HealthController
  dead,      ///< probes found that it does not answer
};

/// \brief Timeout of a probe; several round trips between zones.
inline constexpr MilliDuration kProbeTimeout{ 250 };
/// \brief Time after the probe timeout during which a late answer is still
/// accepted.
inline constexpr MilliDuration kLateResponseTime{ 1750 };

/// \brief Result of a probe of a target.
enum class ProbeResult : std::uint8_t
{
  alive,
  refused,     ///< the host answers, but no process listens on the port
  silent,      ///< no connection within the timeout
  otherTarget, ///< another target uses its address now
};

/// \returns the lower-case name of a result for the log. Names are stable.
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

/// \brief Reachability of one target, and the state of its probes.
struct TargetHealth
{
  HealthState state = HealthState::trusted;
  std::uint8_t failedProbes = 0; ///< consecutive failures
  bool probing = false;          ///< a probe is in progress
  bool hasLeft = false; ///< it is dead, and its registration was removed
  MilliTime changedAt{};
  MilliTime probedAt{}; ///< start of the most recent probe
  /// Start of the newest probe that found the target dead. It proves the end of
  /// flows that were open by then: the target may have started again since.
  MilliTime foundDeadAt{};
  MilliTime nextProbeAt{};
  /// No new flows until then, because a peer found the target dead.
  MilliTime reportedDeadUntil{};
  /// Until then other targets are preferred as controls of a probe, because
  /// this one did not answer as a control.
  MilliTime avoidAsControlUntil{};
};

}

#endif
