#include "TrafficMeter.h"

#include <algorithm>
#include <numeric>

namespace buckthornwing {
namespace internal {

std::uint64_t
sumOf(const TrafficBytes& bytes)
{
  return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{ 0 });
}

TrafficBytes
differenceOf(const TrafficBytes& newer, const TrafficBytes& older)
{
  TrafficBytes difference{};
  for (std::size_t i = 0; i < kTrafficKindCount; ++i) {
    difference[i] = newer[i] - older[i];
  }
  return difference;
}

}

const char*
trafficKindName(TrafficKind kind)
{
  switch (kind) {
    case TrafficKind::packets:
      return "packets";
    case TrafficKind::heartbeats:
      return "heartbeats";
    case TrafficKind::viewRequests:
      return "view_requests";
    case TrafficKind::viewParts:
      return "view_parts";
    case TrafficKind::memberRequests:
      return "member_requests";
    case TrafficKind::storeAnswers:
      return "store_answers";
  }
  return "unknown";
}

TrafficKind
trafficKindOf(const FleetMessage& message)
{
  struct KindOf
  {
    TrafficKind operator()(const FleetHeartbeat& /*body*/) const
    {
      return TrafficKind::heartbeats;
    }
    TrafficKind operator()(const ViewRequest& /*body*/) const
    {
      return TrafficKind::viewRequests;
    }
    TrafficKind operator()(const ViewPart& /*body*/) const
    {
      return TrafficKind::viewParts;
    }
    TrafficKind operator()(const MemberRequest& /*body*/) const
    {
      return TrafficKind::memberRequests;
    }
  };
  return std::visit(KindOf{}, message.body);
}

void
TrafficMeter::onSent(TrafficKind kind, std::size_t bytes, MilliTime now)
{
  this->totals.sent[static_cast<std::size_t>(kind)] += bytes;
  this->link.add(bytes, now);
  this->totals.maxBacklog =
    std::max(this->totals.maxBacklog, this->link.backlog(now));
}

void
TrafficMeter::onReceived(TrafficKind kind, std::size_t bytes)
{
  this->totals.received[static_cast<std::size_t>(kind)] += bytes;
}

void
TrafficMeter::onTick(MilliTime now)
{
  if (this->lastTickAt.ms != 0) {
    this->totals.maxTickGap =
      std::max(this->totals.maxTickGap, now - this->lastTickAt);
  }
  this->lastTickAt = now;
}

std::optional<TrafficReport>
TrafficMeter::takeReport(MilliTime now)
{
  if (this->spanStartedAt.ms == 0) {
    this->spanStartedAt = now;
  }
  if (now - this->spanStartedAt < kReportPeriod) {
    return std::nullopt;
  }
  TrafficReport report = this->totals;
  report.span = now - this->spanStartedAt;
  report.sent = internal::differenceOf(report.sent, this->spanStartTotals.sent);
  report.received =
    internal::differenceOf(report.received, this->spanStartTotals.received);
  this->totals.maxBacklog = MilliDuration{};
  this->totals.maxTickGap = MilliDuration{};
  this->spanStartTotals = this->totals;
  this->spanStartedAt = now;
  return this->isNotable(report) ? std::optional(report) : std::nullopt;
}

bool
TrafficMeter::isNotable(const TrafficReport& report) const
{
  const double busyBytes = kBusyShare * this->link.capacity(report.span);
  const auto larger = static_cast<double>(
    std::max(internal::sumOf(report.sent), internal::sumOf(report.received)));
  return (busyBytes > 0 && larger > busyBytes) ||
         report.maxTickGap > kStallThreshold;
}

}
