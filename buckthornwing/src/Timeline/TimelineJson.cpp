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
           { "openings", counts.openings },
           { "held", counts.held },
           { "members_lost", counts.membersLost },
           { "members_back", counts.membersBack },
           { "store_lost", counts.storeLost },
           { "store_back", counts.storeBack },
           { "views_behind", counts.viewsBehind },
           { "most_view_age_ms", counts.mostViewAge.ms },
           { "targets_suspected", counts.targetsSuspected },
           { "targets_dead", counts.targetsDead },
           { "targets_trusted", counts.targetsTrusted },
           { "busy_links", counts.busyLinks },
           { "most_backlog_ms", counts.mostBacklog.ms },
           { "stalls", counts.stalls },
           { "resets", internal::tallyToJson(counts.resets) },
           { "probes", internal::tallyToJson(counts.probes) } };
}

boost::json::object
toJson(const Spell& spell)
{
  return { { "kind", spellKindName(spell.kind) },
           { "zone", spell.zone },
           { "first_second_ms", spell.first.ms },
           { "last_second_ms", spell.last.ms },
           { "sentence", spell.sentence } };
}

boost::json::object
toJson(const TimelineReport& report, const DeathVerdict& verdict)
{
  boost::json::array flows;
  for (const NameIndex flow : verdict.resetFlows) {
    flows.emplace_back(report.names.nameOf(flow));
  }
  boost::json::object object{
    { "time_ms", verdict.time.ms },
    { "instance", report.names.nameOf(verdict.instance) },
    { "zone", report.zoneOf(verdict.instance) },
    { "target", report.names.nameOf(verdict.target) },
    { "note", report.names.nameOf(verdict.note) },
    { "contradicted", verdict.contradiction.has_value() },
    { "reset_flows", std::move(flows) }
  };
  if (verdict.contradiction) {
    const Contradiction& contradiction = *verdict.contradiction;
    object["contradicted_by"] = report.names.nameOf(contradiction.instance);
    object["contradicted_offset_ms"] = contradiction.offset.ms;
  }
  return object;
}

}
