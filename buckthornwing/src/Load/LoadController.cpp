#include "LoadController.h"

#include "../Peer/FlowRecord.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Interval at which a load summary is sent to peers.
constexpr MilliDuration kSummaryPeriod{ 2000 };
/// \brief Maximum number of instances that a summary is sent to; in a larger
/// fleet they are chosen at random.
constexpr std::size_t kMaxRecipients = 16;
/// \brief Age at which a peer's summary is discarded.
constexpr MilliDuration kSummaryLifetime{ 30000 };
/// \brief Age at which a target's report is ignored.
constexpr MilliDuration kReportLifetime{ 5000 };
/// \brief Consecutive failed reports after which a target looks unhealthy.
constexpr unsigned kFailuresToUnhealthy = 3;
/// \brief Time in which a target that starts to serve reaches its full share of
/// new flows.
constexpr MilliDuration kSlowStartTime{ 10000 };
/// \brief Slow start factor of a target that has just started to serve.
constexpr double kMinSlowStartFactor = 0.1;

}

LoadController::LoadController(Blackboard& board)
  : board(board)
{
}

void
LoadController::onReport(TargetIndex index,
                         const LoadReport& report,
                         MilliTime now)
{
  Target& target = this->board.targets[index];
  target.report = report;
  target.reportedAt = now;
  const bool good = report.reachable && report.healthy;
  target.failedReports = good ? 0 : target.failedReports + 1;
}

void
LoadController::onSummary(MemberIndex from,
                          const LoadSummary& summary,
                          MilliTime now)
{
  if (summary.revision != this->board.view.revision) {
    return;
  }
  const auto counts = unpackNumbers(summary.counts);
  const auto serviceCounts = unpackNumbers(summary.serviceCounts);
  if (!counts || counts->size() != this->board.publishedTargets.size() ||
      !serviceCounts ||
      serviceCounts->size() != this->board.publishedServices.size()) {
    return;
  }
  if (!this->board.members[from].owner()) {
    return;
  }
  Summary& kept = this->summaries[from];
  kept.at = now;
  kept.byTarget.assign(this->board.targets.size(), 0);
  for (std::size_t i = 0; i < counts->size(); ++i) {
    kept.byTarget[this->board.publishedTargets[i]] = (*counts)[i];
  }
  kept.byService.assign(this->board.services.size(), 0);
  for (std::size_t i = 0; i < serviceCounts->size(); ++i) {
    kept.byService[this->board.publishedServices[i]] = (*serviceCounts)[i];
  }
  this->updatePeerFlows();
}

void
LoadController::onOwnersChanged()
{
  std::erase_if(this->summaries, [&](const auto& item) {
    // The flows of a leaving instance are counted by their new owners.
    return !this->board.members[item.first].owner();
  });
  this->updatePeerFlows();
}

/// \returns the factor by which a sum over the members with a summary is scaled
/// to estimate the sum over all peers.
double
LoadController::samplingFactor() const
{
  const std::size_t peers = this->board.ownerCount() - 1;
  const std::size_t heard = this->summaries.size();
  return heard == 0 ? 0
                    : static_cast<double>(peers) / static_cast<double>(heard);
}

void
LoadController::updatePeerFlows()
{
  const double factor = this->samplingFactor();
  const auto scale = [factor](std::uint32_t sum) {
    return static_cast<std::uint32_t>(factor * sum);
  };
  for (std::size_t i = 0; i < this->board.targets.size(); ++i) {
    std::uint32_t sum = 0;
    for (const auto& [member, summary] : this->summaries) {
      sum += i < summary.byTarget.size() ? summary.byTarget[i] : 0;
    }
    this->board.targets[i].peerFlows = scale(sum);
  }
  for (std::size_t i = 0; i < this->board.services.size(); ++i) {
    std::uint32_t sum = 0;
    for (const auto& [member, summary] : this->summaries) {
      sum += i < summary.byService.size() ? summary.byService[i] : 0;
    }
    this->board.services[i].peerFlows = scale(sum);
  }
}

void
LoadController::tick(MilliTime now)
{
  if (now < this->nextSummaryAt || this->board.view.revision == 0) {
    return;
  }
  this->nextSummaryAt = now + internal::kSummaryPeriod;
  std::vector<std::uint32_t> counts;
  for (const TargetIndex index : this->board.publishedTargets) {
    Target& target = this->board.targets[index];
    counts.push_back(target.ownFlows);
    target.placedByLoadSinceSummary = 0;
    target.ownFlowsAtSummary = target.ownFlows;
  }
  std::vector<std::uint32_t> serviceCounts;
  for (const ServiceIndex index : this->board.publishedServices) {
    serviceCounts.push_back(this->board.services[index].ownFlows);
  }
  const LoadSummary summary{ this->board.view.revision,
                             packNumbers(counts),
                             packNumbers(serviceCounts) };
  std::vector<MemberIndex> owners;
  for (MemberIndex i = 1; i < this->board.memberCount(); ++i) {
    if (this->board.members[i].owner()) {
      owners.push_back(i);
    }
  }
  while (owners.size() > internal::kMaxRecipients) {
    owners[this->board.random.below(owners.size())] = owners.back();
    owners.pop_back();
  }
  for (const MemberIndex owner : owners) {
    this->board.send(owner, summary);
  }
  std::erase_if(this->summaries, [&](const auto& item) {
    return now - item.second.at > internal::kSummaryLifetime;
  });
}

double
LoadController::estimate(TargetIndex index, MilliTime now) const
{
  const Target& target = this->board.targets[index];
  const double counted = target.ownFlows + target.peerFlows;
  const bool fresh = target.reportedAt.ms >= 0 &&
                     now - target.reportedAt < internal::kReportLifetime;
  const double reported = fresh ? target.report.connections : 0;
  return std::max(counted, reported);
}

double
LoadController::expectedFlows(TargetIndex index, MilliTime now) const
{
  // Assumes that the flows of each peer have changed since the last summaries
  // by as much as this instance's own. This is too noisy to select targets by,
  // but it keeps them within their limits.
  const Target& target = this->board.targets[index];
  const auto peers = static_cast<double>(this->board.ownerCount() - 1);
  const double own = target.ownFlows;
  const double change = own - target.ownFlowsAtSummary;
  const double counted = own + std::max(0.0, target.peerFlows + change * peers);
  return std::max(counted, this->estimate(index, now));
}

double
LoadController::slowStartFactor(TargetIndex index, MilliTime now) const
{
  const Target& target = this->board.targets[index];
  const auto age = static_cast<double>((now - target.servingSince).ms);
  const double slowStartFactor =
    age / static_cast<double>(internal::kSlowStartTime.ms);
  return std::clamp(slowStartFactor, internal::kMinSlowStartFactor, 1.0);
}

double
LoadController::placementCost(TargetIndex index, MilliTime now) const
{
  // Peers use the same summaries, so each of them has probably placed as many
  // flows on this target since as this instance.
  const auto owners = static_cast<double>(this->board.ownerCount());
  const Target& target = this->board.targets[index];
  const double unreported = target.placedByLoadSinceSummary * (owners - 1);
  return (this->estimate(index, now) + unreported + 1) /
         this->slowStartFactor(index, now);
}

bool
LoadController::looksHealthy(const Target& target, MilliTime now) const
{
  if (target.failedReports >= internal::kFailuresToUnhealthy) {
    return false;
  }
  const bool fresh = target.reportedAt.ms >= 0 &&
                     now - target.reportedAt < internal::kReportLifetime;
  return !fresh || !target.report.shedding;
}

bool
LoadController::reportsPlausible(const Service& service, MilliTime now) const
{
  const auto unhealthy = std::count_if(
    service.serving.begin(), service.serving.end(), [&](TargetIndex target) {
      return !this->looksHealthy(this->board.targets[target], now);
    });
  return 2 * static_cast<std::size_t>(unhealthy) <= service.serving.size();
}

bool
LoadController::available(const Service& service,
                          TargetIndex index,
                          MilliTime now) const
{
  if (index == kNoTargetIndex) {
    return false;
  }
  const Target& target = this->board.targets[index];
  const std::uint32_t limit = target.config.maxConnections;
  const bool full = limit > 0 && this->expectedFlows(index, now) >= limit;
  if (!target.serving() || full) {
    return false;
  }
  return this->looksHealthy(target, now) ||
         !this->reportsPlausible(service, now);
}

}
