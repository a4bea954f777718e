#ifndef BUCKTHORNWING_LOAD_CONTROLLER_H
#define BUCKTHORNWING_LOAD_CONTROLLER_H

#include "../Board/Blackboard.h"

#include <map>
#include <vector>

namespace buckthornwing {

/// \brief Estimates each target's open flows and whether it can take more.
///
/// Each flow is counted by its owner; the counts of peers come from their
/// summaries. Reports of the targets only supplement the counts: a report of
/// fewer connections than were counted is ignored, and if more than half of a
/// service's targets look unhealthy, the reports are assumed to be wrong and
/// their health is not taken into account.
class LoadController
{
public:
  explicit LoadController(Blackboard& board);

  /// \brief Processes a target's report, or the failure to get one.
  void onReport(TargetIndex target, const LoadReport& report, MilliTime now);

  /// \brief Processes a peer's counts; ignores them if they belong to another
  /// revision or the peer owns no flows.
  void onSummary(MemberIndex from, const LoadSummary& summary, MilliTime now);

  /// \brief Sends this instance's counts to peers when they are due.
  void tick(MilliTime now);

  /// \brief Discards the summaries of members that no longer own flows.
  void onOwnersChanged();

  /// \returns the estimated number of open flows of the target.
  double estimate(TargetIndex target, MilliTime now) const;

  /// \returns the estimated number of open flows, extrapolated for changes at
  /// peers since their last summaries; compared with the target's limit.
  double expectedFlows(TargetIndex target, MilliTime now) const;

  /// \returns the cost of placing a flow on the target, in flows: the estimate
  /// plus what peers have probably placed since their last summaries, divided
  /// by the slow start factor. The lowest cost is the best.
  double placementCost(TargetIndex target, MilliTime now) const;

  /// \returns the slow start factor of the target: the share of its normal new
  /// flows that it gets, at least 0.1 and at most 1.
  double slowStartFactor(TargetIndex target, MilliTime now) const;

  /// \returns whether new flows of the service may be placed on the target: it
  /// serves, is below its limit and looks healthy.
  bool available(const Service& service,
                 TargetIndex target,
                 MilliTime now) const;

private:
  /// \brief Open flows of one member according to its last summary.
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
  void updatePeerFlows();
  bool looksHealthy(const Target& target, MilliTime now) const;
  bool reportsPlausible(const Service& service, MilliTime now) const;
};

}

#endif
