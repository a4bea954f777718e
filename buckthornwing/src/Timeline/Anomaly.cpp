#include "Anomaly.h"

#include "AnomalyDescription.h"
#include "AnomalyRule.h"

#include <algorithm>
#include <map>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kSecond{ 1000 };
/// \brief Anomalous seconds that start at most this long after the previous one
/// belong to the same anomaly.
constexpr MilliDuration kMaxGap{ 2000 };
/// \brief A second is anomalous if its score is more than the baseline times
/// this factor.
constexpr std::uint64_t kBaselineFactor = 3;
/// \brief Minimum length of a log in seconds from which a baseline is computed;
/// a shorter log does not show what is normal.
constexpr std::size_t kMinBaselineSeconds = 10;

using ZoneRows = std::vector<const TimelineRow*>;

std::map<std::string_view, ZoneRows>
rowsByZone(const TimelineReport& report)
{
  std::map<std::string_view, ZoneRows> zones;
  for (const TimelineRow& row : report.rows) {
    zones[row.zone].push_back(&row);
  }
  return zones;
}

/// \returns the median score of all seconds from the first row to the last,
/// where a second without a row scores 0; 0 if the rule uses no baseline or the
/// rows span too few seconds.
std::uint64_t
baselineScore(const AnomalyRule& rule, const ZoneRows& rows)
{
  const MilliDuration span = rows.back()->second - rows.front()->second;
  const auto seconds = static_cast<std::size_t>(span.ms / kSecond.ms + 1);
  if (!rule.usesBaseline || seconds < kMinBaselineSeconds) {
    return 0;
  }
  std::vector<std::uint64_t> scores;
  for (const TimelineRow* row : rows) {
    scores.push_back(rule.scoreOf(row->counts));
  }
  const std::size_t emptySeconds = seconds - rows.size();
  const std::size_t middle = seconds / 2;
  if (middle < emptySeconds) {
    return 0;
  }
  const auto at =
    scores.begin() + static_cast<std::ptrdiff_t>(middle - emptySeconds);
  std::nth_element(scores.begin(), at, scores.end());
  return *at;
}

/// \brief An anomaly and the sum of the counts of its seconds.
struct AnomalyWithTotal
{
  Anomaly anomaly;
  SecondCounts total;
};

/// \brief Finds the anomalous seconds of a zone and groups consecutive ones.
/// \returns the anomalies without their descriptions, sorted by time.
std::vector<AnomalyWithTotal>
groupSeconds(const AnomalyRule& rule, const ZoneRows& rows)
{
  const std::uint64_t baseline = baselineScore(rule, rows);
  std::vector<AnomalyWithTotal> anomalies;
  for (const TimelineRow* row : rows) {
    const std::uint64_t score = rule.scoreOf(row->counts);
    if (score < rule.minScore || score <= baseline * kBaselineFactor) {
      continue;
    }
    const bool isNew = anomalies.empty() ||
                       row->second > anomalies.back().anomaly.last + kMaxGap;
    if (isNew) {
      Anomaly anomaly{ rule.kind, row->zone, row->second, row->second, {} };
      anomalies.push_back({ std::move(anomaly), {} });
    }
    anomalies.back().anomaly.last = row->second;
    anomalies.back().total.add(row->counts);
  }
  return anomalies;
}

}

const char*
anomalyKindName(AnomalyKind kind)
{
  switch (kind) {
    case AnomalyKind::targets:
      return "targets";
    case AnomalyKind::resets:
      return "resets";
    case AnomalyKind::held:
      return "held";
    case AnomalyKind::members:
      return "members";
    case AnomalyKind::store:
      return "store";
    case AnomalyKind::views:
      return "views";
    case AnomalyKind::links:
      return "links";
    case AnomalyKind::stalls:
      return "stalls";
  }
  return "unknown";
}

std::vector<Anomaly>
findAnomalies(const TimelineReport& report)
{
  std::vector<Anomaly> anomalies;
  for (const auto& [zone, rows] : internal::rowsByZone(report)) {
    for (const AnomalyRule& rule : anomalyRulesFor(rows)) {
      for (auto& [anomaly, total] : internal::groupSeconds(rule, rows)) {
        anomaly.description = describeAnomaly(report, rule, anomaly, total);
        anomalies.push_back(std::move(anomaly));
      }
    }
  }
  std::stable_sort(anomalies.begin(),
                   anomalies.end(),
                   [](const Anomaly& left, const Anomaly& right) {
                     return left.first < right.first;
                   });
  return anomalies;
}

}
