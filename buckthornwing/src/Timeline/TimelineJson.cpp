#include "TimelineJson.h"

#include <boost/json.hpp>

namespace buckthornwing {
namespace internal {

boost::json::object
tallyToJson(const Tally& tally)
{
  boost::json::object object;
  for (const NamedCount& entry : tally.counts()) {
    object[entry.name] = entry.count;
  }
  return object;
}

}

boost::json::object
toJson(const TimelineRow& row)
{
  const SecondCounts& counts = row.counts;
  return { { "time_ms", row.second.ms },
           { "zone", row.zone },
           { "openings", counts.placedFlows },
           { "held", counts.held },
           { "members_lost", counts.membersLost },
           { "members_back", counts.membersJoined },
           { "store_lost", counts.storeLost },
           { "store_back", counts.storeRegained },
           { "views_behind", counts.staleViews },
           { "most_view_age_ms", counts.maxViewAge.ms },
           { "targets_suspected", counts.targetsSuspected },
           { "targets_dead", counts.targetsDead },
           { "targets_trusted", counts.targetsTrusted },
           { "busy_links", counts.busyLinks },
           { "most_backlog_ms", counts.maxBacklog.ms },
           { "stalls", counts.stalls },
           { "resets", internal::tallyToJson(counts.resets) },
           { "probes", internal::tallyToJson(counts.probes) } };
}

boost::json::object
toJson(const Anomaly& anomaly)
{
  return { { "kind", anomalyKindName(anomaly.kind) },
           { "zone", anomaly.zone },
           { "first_second_ms", anomaly.first.ms },
           { "last_second_ms", anomaly.last.ms },
           { "sentence", anomaly.description } };
}

boost::json::object
toJson(const TimelineReport& report, const DeathDetection& detection)
{
  boost::json::array flows;
  for (const NameIndex flow : detection.resetFlows) {
    flows.emplace_back(report.names.nameOf(flow));
  }
  boost::json::object object{
    { "time_ms", detection.time.ms },
    { "instance", report.names.nameOf(detection.instance) },
    { "zone", report.zoneOf(detection.instance) },
    { "target", report.names.nameOf(detection.target) },
    { "note", report.names.nameOf(detection.note) },
    { "contradicted", detection.contradiction.has_value() },
    { "reset_flows", std::move(flows) }
  };
  if (detection.contradiction) {
    const Contradiction& contradiction = *detection.contradiction;
    object["contradicted_by"] = report.names.nameOf(contradiction.instance);
    object["contradicted_offset_ms"] = contradiction.offset.ms;
  }
  return object;
}

}
