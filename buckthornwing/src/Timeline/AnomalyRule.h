#ifndef BUCKTHORNWING_ANOMALY_RULE_H
#define BUCKTHORNWING_ANOMALY_RULE_H

#include "Anomaly.h"

#include <span>

namespace buckthornwing {

/// \brief Rule that decides which seconds of an availability zone are anomalous
/// with respect to one kind of event.
struct AnomalyRule
{
  AnomalyKind kind = AnomalyKind::targets;
  std::string reason; ///< reason of the resets; empty for other kinds
  /// \brief A second with a lower score is never anomalous.
  std::uint64_t minScore = 1;
  /// \brief Whether these events also occur in normal operation, so that a
  /// second is anomalous only if its score is far above the zone's median.
  bool usesBaseline = false;

  /// \returns the score of a second: the number of events, which may be
  /// weighted.
  std::uint64_t scoreOf(const SecondCounts& counts) const;
};

/// \param rows all rows of one availability zone
/// \returns the rules for these rows, with one for each reason of a reset that
/// occurs in them.
std::vector<AnomalyRule>
anomalyRulesFor(std::span<const TimelineRow* const> rows);

}

#endif
