#include "AnomalyDescription.h"

#include "TimelineText.h"

#include <set>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kSecond{ 1000 };

bool
isWithin(MilliTime time, const Anomaly& anomaly)
{
  return time >= anomaly.first && time < anomaly.last + kSecond;
}

/// \brief Targets that the instances of a zone suspected during an anomaly.
struct SuspectedTargets
{
  std::set<NameIndex> all;
  std::set<NameIndex> notTrustedAgain; ///< by at least one instance
  MilliDuration maxDuration{};         ///< of a suspicion that ended
};

SuspectedTargets
collectSuspected(const TimelineReport& report, const Anomaly& anomaly)
{
  SuspectedTargets targets;
  for (const Suspicion& suspicion : report.suspicions) {
    if (!isWithin(suspicion.time, anomaly) ||
        report.zoneOf(suspicion.instance) != anomaly.zone) {
      continue;
    }
    targets.all.insert(suspicion.target);
    if (suspicion.duration) {
      targets.maxDuration = std::max(targets.maxDuration, *suspicion.duration);
    } else {
      targets.notTrustedAgain.insert(suspicion.target);
    }
  }
  return targets;
}

std::string
describeSuspected(const TimelineReport& report, const Anomaly& anomaly)
{
  const SuspectedTargets targets = collectSuspected(report, anomaly);
  if (targets.all.empty()) {
    return {};
  }
  const std::size_t trusted =
    targets.all.size() - targets.notTrustedAgain.size();
  std::string text = formatCount(targets.all.size(), "target") + " suspected, ";
  if (trusted == 0) {
    return text + "none trusted again everywhere";
  }
  text += targets.notTrustedAgain.empty() ? "all" : std::to_string(trusted);
  return text + " trusted again within " +
         std::to_string(targets.maxDuration.ms) + " ms";
}

/// \brief Targets that the instances of a zone found dead during an anomaly.
struct DeadTargets
{
  std::set<NameIndex> all;
  std::set<NameIndex> contradicted;
  MilliDuration maxDistance{}; ///< from a detection to its contradiction
  std::size_t resets = 0;      ///< of flows, caused by the detections
};

DeadTargets
collectDead(const TimelineReport& report, const Anomaly& anomaly)
{
  DeadTargets targets;
  for (const DeathDetection& detection : report.detections) {
    if (!isWithin(detection.time, anomaly) ||
        report.zoneOf(detection.instance) != anomaly.zone) {
      continue;
    }
    targets.all.insert(detection.target);
    targets.resets += detection.resetFlows.size();
    if (detection.contradiction) {
      const std::int64_t distance =
        std::abs(detection.contradiction->offset.ms);
      targets.contradicted.insert(detection.target);
      targets.maxDistance =
        std::max(targets.maxDistance, MilliDuration{ distance });
    }
  }
  return targets;
}

std::string
describeDead(const TimelineReport& report, const Anomaly& anomaly)
{
  const DeadTargets targets = collectDead(report, anomaly);
  if (targets.all.empty()) {
    return {};
  }
  std::string text = formatCount(targets.all.size(), "target") + " found dead";
  if (targets.contradicted.empty()) {
    text += ", trusted by no other instance";
  } else {
    text += targets.contradicted.size() == targets.all.size()
              ? ", "
              : ", " + std::to_string(targets.contradicted.size()) + " ";
    text += "trusted by another instance within " +
            std::to_string(targets.maxDistance.ms) + " ms";
  }
  if (targets.resets != 0) {
    text += ", " + formatCount(targets.resets, "reset") + " at once";
  }
  return text;
}

std::string
describeTargets(const TimelineReport& report, const Anomaly& anomaly)
{
  const std::string suspected = describeSuspected(report, anomaly);
  const std::string dead = describeDead(report, anomaly);
  const bool both = !suspected.empty() && !dead.empty();
  return suspected + (both ? "; " : "") + dead;
}

std::string
describeFinding(const TimelineReport& report,
                const AnomalyRule& rule,
                const Anomaly& anomaly,
                const SecondCounts& total)
{
  switch (rule.kind) {
    case AnomalyKind::targets:
      return describeTargets(report, anomaly);
    case AnomalyKind::resets:
      return formatCount(rule.scoreOf(total), "reset") + " for " + rule.reason;
    case AnomalyKind::held:
      return formatCount(total.held, "packet") + " held";
    case AnomalyKind::members:
      return "members lost " + formatCount(total.membersLost, "time") +
             ", back " + formatCount(total.membersJoined, "time");
    case AnomalyKind::store:
      return "store lost " + formatCount(total.storeLost, "time") + ", back " +
             formatCount(total.storeRegained, "time");
    case AnomalyKind::views:
      return "views behind by up to " + std::to_string(total.maxViewAge.ms) +
             " ms";
    case AnomalyKind::links:
      return "busy links, queues of up to " +
             std::to_string(total.maxBacklog.ms) + " ms";
    case AnomalyKind::stalls:
      return "processes stood still " + formatCount(total.stalls, "time");
  }
  return {};
}

}

std::string
describeAnomaly(const TimelineReport& report,
                const AnomalyRule& rule,
                const Anomaly& anomaly,
                const SecondCounts& total)
{
  std::string text = formatClock(anomaly.first);
  if (anomaly.last != anomaly.first) {
    text += " to " + formatClock(anomaly.last);
  }
  return text + " zone " + anomaly.zone + ": " +
         internal::describeFinding(report, rule, anomaly, total);
}

}
