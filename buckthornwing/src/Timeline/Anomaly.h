#ifndef BUCKTHORNWING_ANOMALY_H
#define BUCKTHORNWING_ANOMALY_H

#include "TimelineReport.h"

namespace buckthornwing {

/// \brief Kind of the events of an anomaly.
enum class AnomalyKind : std::uint8_t
{
  targets, ///< suspicions and detected deaths of targets
  resets,  ///< resets of flows for one reason
  held,    ///< packets held back
  members, ///< lost members
  store,   ///< losses of the store
  views,   ///< instances with a stale view
  links,   ///< instances with a busy link
  stalls,  ///< times that a process did not run for a while
};

/// \returns the lower-case name of \a kind in the JSON output, which must not
/// change.
const char*
anomalyKindName(AnomalyKind kind);

/// \brief A period in which one availability zone logged events of one kind
/// that do not occur in normal operation, or far more of them than usual.
struct Anomaly
{
  AnomalyKind kind = AnomalyKind::targets;
  std::string zone;
  MilliTime first{};       ///< start of its first second, wall clock
  MilliTime last{};        ///< start of its last second, wall clock
  std::string description; ///< one sentence for operators
};

/// \returns the anomalies in a report, sorted by their first second.
std::vector<Anomaly>
findAnomalies(const TimelineReport& report);

}

#endif
