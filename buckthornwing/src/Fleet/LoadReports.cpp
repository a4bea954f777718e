#include "LoadReports.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

constexpr std::size_t kReportsPerHeartbeat = 24;
/// \brief Time after which a peer's report is discarded.
constexpr MilliDuration kReportLifetime{ 2500 };
/// \brief Plausible maximum of one instance's flows or requests at one target.
constexpr std::int32_t kMaxReportedLoad = 100000;
/// \brief Plausible range of a reported service time in ms.
constexpr double kMinServiceMs = 0.5;
constexpr double kMaxServiceMs = 60000;
/// \brief Number of samples that a reported service time counts for. It is less
/// than kMinSharedEvidence, because all peers see the same queues.
constexpr double kReportEvidence = 6;

/// \returns a report with its values limited to a plausible range. A negative
/// load would attract all new flows to its target.
TargetReport
limitToPlausible(TargetReport report)
{
  report.flows = std::clamp(report.flows, 0, kMaxReportedLoad);
  report.busy = std::clamp(report.busy, 0, report.flows);
  if (report.sinceProgress) {
    report.sinceProgress = std::max(*report.sinceProgress, MilliDuration{});
  }
  if (report.serviceMs) {
    report.serviceMs =
      std::clamp(*report.serviceMs, kMinServiceMs, kMaxServiceMs);
  }
  return report;
}

/// \returns the service time that an instance reports; nothing if too few
/// samples support it.
std::optional<double>
serviceMsToReport(const TargetLoad& load, MilliTime now)
{
  const ServiceTimeEstimate own = load.serviceTime.estimate(now);
  return own.evidence < kMinSharedEvidence ? std::nullopt
                                           : std::optional(own.ms);
}

/// \returns the estimate that follows from the peers' reports. It is their
/// median, so that one wrong report does not change it.
/// \param reports service times in ms, reordered
ServiceTimeEstimate
peerEstimate(std::span<double> reports)
{
  if (reports.empty()) {
    return {};
  }
  const std::size_t middle = reports.size() / 2;
  std::nth_element(reports.begin(),
                   reports.begin() + static_cast<long>(middle),
                   reports.end());
  return { reports[middle],
           kReportEvidence * static_cast<double>(reports.size()) };
}

}

std::vector<TargetReport>
LoadReports::nextReports(MilliTime now)
{
  std::vector<TargetReport> reports;
  const std::size_t count = this->board.registry.targets().size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto slot = static_cast<TargetSlot>((this->nextTarget + i) % count);
    const TargetLoad& load = this->board.observer.load(slot);
    const bool isDead = this->board.healthState(slot) == HealthState::dead;
    if (load.flows == 0 && load.busy == 0 && !isDead) {
      continue;
    }
    if (reports.size() == internal::kReportsPerHeartbeat) {
      this->nextTarget = slot;
      break;
    }
    reports.push_back(
      { this->board.registry.at(slot).key.shortened(),
        load.flows,
        load.busy,
        load.silentFlows,
        load.hasAnswered ? std::optional(now - load.progressAt) : std::nullopt,
        isDead,
        internal::serviceMsToReport(load, now) });
  }
  return reports;
}

void
LoadReports::receive(KnownMember& member,
                     const FleetHeartbeat& body,
                     MilliTime now)
{
  for (const TargetReport& report : body.reports) {
    member.reports[report.target] =
      ReceivedReport{ internal::limitToPlausible(report), now };
    if (report.dead && member.member.zone == this->board.settings.zone) {
      this->foundDead.push_back(report.target);
    }
  }
}

void
LoadReports::updatePeerLoads(FleetMembers& members, MilliTime now)
{
  this->board.zonePeers = members.liveInZone(now);
  const std::size_t count = this->board.registry.targets().size();
  this->serviceTimes.resize(count);
  for (TargetSlot slot = 0; slot < count; ++slot) {
    TargetLoad& load = this->board.observer.mutableLoad(slot);
    load.peerFlows = 0;
    load.peerBusy = 0;
    load.flowsAtReport = load.flows;
    load.busyAtReport = load.busy;
  }
  if (!this->board.settings.policy.usesPeerLoads) {
    return;
  }
  for (auto& [address, known] : members.all()) {
    this->addReports(known, now);
  }
  this->updatePeerServiceTimes();
}

void
LoadReports::updatePeerServiceTimes()
{
  for (TargetSlot slot = 0; slot < this->serviceTimes.size(); ++slot) {
    std::vector<double>& reports = this->serviceTimes[slot];
    this->board.observer.mutableLoad(slot).peerServiceTime =
      internal::peerEstimate(reports);
    reports.clear();
  }
}

void
LoadReports::addReports(KnownMember& member, MilliTime now)
{
  boost::unordered::erase_if(member.reports, [now](const auto& entry) {
    return now - entry.second.at > internal::kReportLifetime;
  });
  for (const auto& [target, received] : member.reports) {
    const TargetSlot slot = this->board.registry.find(target);
    if (slot == kNoTargetSlot) {
      continue;
    }
    TargetLoad& load = this->board.observer.mutableLoad(slot);
    load.peerFlows += received.report.flows;
    load.peerBusy += received.report.busy;
    if (received.report.serviceMs) {
      this->serviceTimes[slot].push_back(*received.report.serviceMs);
    }
    if (received.report.sinceProgress) {
      const MilliTime progress{ received.at.ms -
                                received.report.sinceProgress->ms };
      load.peerProgressAt = std::max(load.peerProgressAt, progress);
      load.hasAnswered = true;
    }
  }
}

}
