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
  if (report.totalFlows && report.totalBusy) {
    report.totalFlows =
      std::clamp(*report.totalFlows, report.flows, kMaxReportedLoad);
    report.totalBusy =
      std::clamp(*report.totalBusy, report.busy, *report.totalFlows);
  }
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

bool
LoadReports::hasOwnLoad(TargetSlot slot) const
{
  const TargetLoad& load = this->board.observer.load(slot);
  return load.flows != 0 || load.busy != 0 ||
         this->board.healthState(slot) == HealthState::dead;
}

TargetReport
LoadReports::reportOf(TargetSlot slot, MilliTime now) const
{
  const TargetLoad& load = this->board.observer.load(slot);
  return { this->board.registry.at(slot).key.shortened(),
           load.flows,
           load.busy,
           load.silentFlows,
           load.hasAnswered ? std::optional(now - load.progressAt)
                            : std::nullopt,
           this->board.healthState(slot) == HealthState::dead,
           internal::serviceMsToReport(load, now) };
}

TargetReport
LoadReports::summedReportOf(TargetSlot slot, MilliTime now) const
{
  TargetReport report = this->reportOf(slot, now);
  const ZoneSum peers =
    slot < this->ownZone.size() ? this->ownZone[slot] : ZoneSum{};
  report.totalFlows = report.flows + static_cast<std::int32_t>(peers.flows);
  report.totalBusy = report.busy + static_cast<std::int32_t>(peers.busy);
  return report;
}

template<typename Filter, typename Report>
void
LoadReports::append(std::vector<TargetReport>& reports,
                    std::size_t& next,
                    Filter filter,
                    Report report) const
{
  const std::size_t count = this->board.registry.targets().size();
  const std::size_t begin = next;
  for (std::size_t i = 0; i < count; ++i) {
    const auto slot = static_cast<TargetSlot>((begin + i) % count);
    if (!filter(slot)) {
      continue;
    }
    if (reports.size() == internal::kReportsPerHeartbeat) {
      next = slot;
      return;
    }
    reports.push_back(report(slot));
  }
}

std::vector<TargetReport>
LoadReports::nextReports(MilliTime now)
{
  std::vector<TargetReport> reports;
  this->append(
    reports,
    this->nextTarget,
    [this](TargetSlot slot) { return this->hasOwnLoad(slot); },
    [this, now](TargetSlot slot) { return this->reportOf(slot, now); });
  return reports;
}

std::vector<TargetReport>
LoadReports::nextZoneReports(std::string_view receiverZone, MilliTime now)
{
  const auto isOfBothZones = [&](TargetSlot slot) {
    const std::string& zone = this->board.registry.at(slot).record.zone;
    return zone == receiverZone || zone == this->board.settings.zone;
  };
  const auto hasZoneLoad = [this](TargetSlot slot) {
    return this->hasOwnLoad(slot) ||
           (slot < this->ownZone.size() && this->ownZone[slot].flows > 0);
  };
  const auto report = [&](TargetSlot slot) {
    return this->summedReportOf(slot, now);
  };
  std::vector<TargetReport> reports;
  this->append(
    reports,
    this->nextSummedTarget,
    [&](TargetSlot slot) { return isOfBothZones(slot) && hasZoneLoad(slot); },
    report);
  this->append(
    reports,
    this->nextTarget,
    [&](TargetSlot slot) {
      return !isOfBothZones(slot) && this->hasOwnLoad(slot);
    },
    report);
  return reports;
}

void
LoadReports::receive(KnownMember& member,
                     const FleetHeartbeat& body,
                     MilliTime now)
{
  const bool isPeerOfZone = member.member.zone == this->board.settings.zone;
  for (const TargetReport& received : body.reports) {
    const TargetReport report = internal::limitToPlausible(received);
    member.reports[report.target] = ReceivedReport{ report, now };
    if (!isPeerOfZone) {
      this->sums.record(member.member.zone, report, now);
    }
    if (report.dead && isPeerOfZone) {
      this->foundDead.push_back(report.target);
    }
  }
}

void
LoadReports::updatePeerLoads(FleetMembers& members, MilliTime now)
{
  this->board.zonePeers = members.liveInZone(now);
  this->board.zoneRank = members.rankInZone(now);
  this->resetPeerLoads();
  if (!this->board.settings.policy.usesPeerLoads) {
    return;
  }
  this->sums.expire(now);
  for (auto& [address, known] : members.all()) {
    this->addReports(known, now);
  }
  this->addZoneSums();
  this->updatePeerServiceTimes();
}

void
LoadReports::resetPeerLoads()
{
  const std::size_t count = this->board.registry.targets().size();
  this->serviceTimes.resize(count);
  this->ownZone.assign(count, {});
  for (TargetSlot slot = 0; slot < count; ++slot) {
    TargetLoad& load = this->board.observer.mutableLoad(slot);
    load.peerFlows = 0;
    load.peerBusy = 0;
    load.flowsAtReport = load.flows;
    load.busyAtReport = load.busy;
  }
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
    this->addLoad(member, received.report);
    if (received.report.serviceMs) {
      this->serviceTimes[slot].push_back(*received.report.serviceMs);
    }
    if (received.report.sinceProgress) {
      TargetLoad& load = this->board.observer.mutableLoad(slot);
      const MilliTime progress{ received.at.ms -
                                received.report.sinceProgress->ms };
      load.peerProgressAt = std::max(load.peerProgressAt, progress);
      load.hasAnswered = true;
    }
  }
}

void
LoadReports::addLoad(const KnownMember& member, const TargetReport& report)
{
  if (this->sums.contains(member.member.zone, report.target)) {
    return; // The zone's sum contains it.
  }
  const TargetSlot slot = this->board.registry.find(report.target);
  TargetLoad& load = this->board.observer.mutableLoad(slot);
  load.peerFlows += report.flows;
  load.peerBusy += report.busy;
  if (member.member.zone == this->board.settings.zone) {
    this->ownZone[slot].flows += report.flows;
    this->ownZone[slot].busy += report.busy;
  }
}

void
LoadReports::addZoneSums()
{
  for (const auto& [zone, targets] : this->sums.all()) {
    for (const auto& [target, sum] : targets) {
      const TargetSlot slot = this->board.registry.find(target);
      if (slot == kNoTargetSlot) {
        continue;
      }
      TargetLoad& load = this->board.observer.mutableLoad(slot);
      load.peerFlows += sum.flows;
      load.peerBusy += sum.busy;
    }
  }
}

}
