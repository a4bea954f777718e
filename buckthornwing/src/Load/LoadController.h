#ifndef BUCKTHORNWING_LOAD_CONTROLLER_H
#define BUCKTHORNWING_LOAD_CONTROLLER_H

#include "../Board/Blackboard.h"

#include <map>
#include <vector>

namespace buckthornwing {

/// \brief Estimates each target's open flows and whether it can take more.
///
/// Flows are counted by their owners and summed over peers' summaries. Reports
/// of the targets are evidence only: a report that claims less than the count
/// is not believed, and when most targets of a service look unhealthy at once
/// the evidence is held to be bad.
class LoadController
{
public:
  explicit LoadController(Blackboard& board);

  /// \brief Takes a target's report, or the failure to get one.
  void onReport(TargetIndex target, const LoadReport& report, MilliTime now);

  void onSummary(MemberIndex from, const LoadSummary& summary, MilliTime now);

  /// \brief Sends this instance's counts when they are due.
  void tick(MilliTime now);

  /// \brief Drops what members said that no longer own flows.
  void onOwnersChanged();

  /// \returns the flows that the target is estimated to have open.
  double estimate(TargetIndex target, MilliTime now) const;

  /// \returns the estimate with what has changed at peers since they were
  /// heard; compared with a target's limit.
  double expectedFlows(TargetIndex target, MilliTime now) const;

  /// \returns the estimate with what peers are likely to add before they are
  /// heard, raised while the target is cold.
  double placementCost(TargetIndex target, MilliTime now) const;

  /// \returns from 0 (just started) to 1 (warm).
  double warmth(TargetIndex target, MilliTime now) const;

  /// \returns whether the target may be given new flows of the service.
  bool available(const Service& service,
                 TargetIndex target,
                 MilliTime now) const;

private:
  /// \brief Counts in one member's last summary.
  struct Summary
  {
    std::vector<std::uint32_t> byTarget;  ///< by TargetIndex
    std::vector<std::uint32_t> byService; ///< by ServiceIndex
    MilliTime at{};
  };

  Blackboard& board;
  std::map<MemberIndex, Summary> summaries;
  MilliTime nextSummaryAt{};

  double samplingFactor() const;
  void sumUp();
  bool looksFit(const Target& target, MilliTime now) const;
  bool evidenceHolds(const Service& service, MilliTime now) const;
};

}

#endif
