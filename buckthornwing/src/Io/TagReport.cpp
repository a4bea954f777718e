#include "TagReport.h"

#include "../Fleet/CapacityClass.h"
#include "../Peer/PeerSeal.h"
#include "MetricsWriter.h"
#include "ReportFields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <span>
#include <string>

namespace buckthornwing {
namespace internal {

/// \brief Writes a counter metric with one sample for each kind.
/// \param kind name of the label
/// \param nameOf returns the label's value for an index of \a counts
template<typename Counts, typename NameOf>
void
writeByKind(const char* metric,
            const char* help,
            const char* kind,
            const Counts& counts,
            NameOf nameOf,
            MetricsWriter& writer)
{
  writer.family(metric, "counter", help);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    writer.sample(metric, counts[i], label(kind, nameOf(i)));
  }
}

void
writeDecisions(const TagCounters& counters, MetricsWriter& writer)
{
  writeByKind(
    "decisions_total",
    "Packets, by outcome",
    "outcome",
    counters.outcomes,
    [](auto i) { return steeringOutcomeName(static_cast<SteeringOutcome>(i)); },
    writer);
  writeByKind(
    "decision_reasons_total",
    "Packets, by reason",
    "reason",
    counters.decisions,
    [](auto i) { return steeringReasonName(static_cast<SteeringReason>(i)); },
    writer);
}

/// \brief Writes one sample for each priority of which flows were refused.
void
writeOverloadRefusals(const TagCounters& counters, MetricsWriter& writer)
{
  constexpr const char* kMetric = "overload_refusals_total";
  writer.family(kMetric,
                "counter",
                "Flows refused while their service was overloaded, by priority "
                "of the route");
  for (const auto& [priority, count] : counters.refusedByPriority) {
    writer.sample(kMetric, count, label("priority", std::to_string(priority)));
  }
}

void
writeHost(const TagHostCounters& host, MetricsWriter& writer)
{
  writer.single(
    "packets_total", "counter", "Datagrams of the fabric", host.packets);
  writeByKind(
    "packet_faults_total",
    "Datagrams that are no packet",
    "fault",
    std::span(host.faults).subspan(1),
    [](auto i) { return packetFaultName(static_cast<PacketFault>(i + 1)); },
    writer);
  writer.single("packets_not_held_total",
                "counter",
                "Packets dropped because too many wait for a view",
                host.packetsNotHeld);
  writer.single("sends_lost_total",
                "counter",
                "Datagrams that the kernel did not take",
                host.sendsLost);
  writeByKind(
    "peer_faults_total",
    "Peer datagrams not taken",
    "fault",
    std::span(host.peerFaults).subspan(1),
    [](auto i) { return peerFaultName(static_cast<PeerFault>(i + 1)); },
    writer);
  const auto kindName = [](auto i) {
    return trafficKindName(static_cast<TrafficKind>(i));
  };
  writeByKind("bytes_sent_total",
              "Bytes sent over the own link",
              "kind",
              host.bytesSent,
              kindName,
              writer);
  writeByKind("bytes_received_total",
              "Bytes received over the own link",
              "kind",
              host.bytesReceived,
              kindName,
              writer);
  writer.single("store_calls_total",
                "counter",
                "Calls to the platform's store",
                host.storeCalls);
  writer.single("store_failures_total",
                "counter",
                "Calls to the platform's store that failed",
                host.storeFailures);
  writer.single(
    "log_lines_lost_total", "counter", "Log lines left out", host.logLinesLost);
}

/// \brief Writes the age of a view in milliseconds; nothing if the view was
/// never confirmed.
void
writeAge(const char* name,
         const char* help,
         MilliTime confirmedAt,
         MilliTime now,
         MetricsWriter& writer)
{
  const auto age = viewAge(confirmedAt, now);
  if (age) {
    writer.single(name, "gauge", help, age->ms);
  }
}

/// \returns the number of listed targets that are cold.
std::size_t
countCold(const TargetRegistry& registry, MilliTime now)
{
  const auto targets = registry.targets();
  return static_cast<std::size_t>(std::count_if(
    targets.begin(), targets.end(), [now](const KnownTarget& target) {
      return target.isCold(now);
    }));
}

/// \returns the state of a target as it is shown in the status.
boost::json::object
describeTarget(const KnownTarget& target, const TargetLoad& load, MilliTime now)
{
  boost::json::object fields{ { "id", target.record.id },
                              { "takes_new_flows", target.takesNewFlows() },
                              { "flows", load.flows },
                              { "busy", load.busy },
                              { "service_ms", serviceTimeOf(load, now).ms },
                              { "relative_service_time",
                                load.relativeServiceTime },
                              { "peer_flows", load.peerFlows } };
  if (target.isCold(now)) {
    fields["warm_in_ms"] = target.remainingWarmup(now).ms;
  }
  return fields;
}

/// \returns the flows refused during overloads, with their priorities as keys.
boost::json::object
refusalsByPriority(const TagCounters& counters)
{
  boost::json::object refusals;
  for (const auto& [priority, count] : counters.refusedByPriority) {
    refusals[std::to_string(priority)] = count;
  }
  return refusals;
}

}

std::string
formatTagMetrics(const TagBlackboard& board,
                 const TagHostCounters& host,
                 MilliTime now)
{
  internal::MetricsWriter writer;
  internal::writeDecisions(board.counters, writer);
  internal::writeOverloadRefusals(board.counters, writer);
  internal::writeHost(host, writer);
  writer.histogram("service_seconds",
                   "From a request to the first sign of its answer",
                   board.observer.serviceTimes());
  writer.histogram("placement_view_age_seconds",
                   "Age of the targets' view when a flow was placed",
                   board.counters.targetsAges);
  writer.histogram("store_listing_seconds",
                   "From a call to the store to its whole list",
                   host.storeListings);
  writer.single(
    "probes_total", "counter", "Probes of targets", board.counters.probes);
  writer.single("repeats_total",
                "counter",
                "Packets that callers sent again",
                board.counters.retransmissions);
  writer.single("registry_entries_unreadable_total",
                "counter",
                "Entries of the registry that are no target",
                board.counters.unreadableEntries);
  writer.single("operator_entries_ignored_total",
                "counter",
                "Entries of the operator that are not understood",
                board.counters.ignoredEntries);
  writer.single("registry_number_conflicts_total",
                "counter",
                "Entries of the registry with the number of another target",
                board.registry.numberConflicts());
  writer.single("store_era_changes_total",
                "counter",
                "Times that the store came back from an older copy",
                board.counters.storeEraChanges);
  writer.single(
    "store_answers_outdated_total",
    "counter",
    "Answers of an earlier era of the store, which are not believed",
    board.counters.outdatedAnswers);
  writer.single("peer_updates_malformed_total",
                "counter",
                "Views from peers that could not be read",
                board.counters.malformedUpdates);
  writer.single("tracked_flows",
                "gauge",
                "Flows whose packets pass here",
                board.observer.flowCount());
  writer.single("cold_targets",
                "gauge",
                "Targets that have started and are not warm yet",
                internal::countCold(board.registry, now));
  internal::writeAge("targets_age_milliseconds",
                     "Time since the targets were confirmed",
                     board.targetsConfirmedAt,
                     now,
                     writer);
  internal::writeAge("routes_age_milliseconds",
                     "Time since the routes were confirmed",
                     board.routesConfirmedAt,
                     now,
                     writer);
  writer.single("routes_version",
                "gauge",
                "Version of the routes in force",
                board.routes.version());
  writer.single("settings_refused",
                "gauge",
                "1 if the last reload refused the settings file, with which a "
                "start would fail",
                host.refusedSettings ? 1 : 0);
  writer.single("evacuated_zones",
                "gauge",
                "Zones whose targets take no new flows",
                board.pools.zonesEvacuated().size());
  return writer.str();
}

std::string
formatTagStatus(const TagBlackboard& board,
                const TagHostCounters& host,
                MilliTime now)
{
  boost::json::object status;
  status["id"] = board.settings.id;
  status["zone"] = board.settings.zone;
  status["capacity_class"] =
    capacityClassOf(board.settings.linkMegabits, board.settings.cpuShare);
  status["stopping"] = board.stopping;
  status["routes_version"] = board.routes.version();
  status["routes_age_ms"] = internal::ageOrNull(board.routesConfirmedAt, now);
  status["evacuated_zones"] = internal::evacuatedZones(board);
  status["targets_revision"] = board.registry.position().revision;
  status["targets_era"] = board.registry.position().era;
  status["store_era"] = board.storeEra ? boost::json::value(*board.storeEra)
                                       : boost::json::value(nullptr);
  status["targets_age_ms"] = internal::ageOrNull(board.targetsConfirmedAt, now);
  status["tracked_flows"] = board.observer.flowCount();
  boost::json::object outcomes;
  for (std::size_t i = 0; i < board.counters.outcomes.size(); ++i) {
    const auto outcome = static_cast<SteeringOutcome>(i);
    outcomes[steeringOutcomeName(outcome)] = board.counters.outcomes[i];
  }
  status["outcomes"] = std::move(outcomes);
  status["overload_refusals"] = internal::refusalsByPriority(board.counters);
  status["packets"] = host.packets;
  status["store_calls"] = host.storeCalls;
  status["settings_refused"] = host.refusedSettings
                                 ? boost::json::value(*host.refusedSettings)
                                 : boost::json::value(nullptr);
  boost::json::array targets;
  for (TargetSlot slot = 0; slot < board.registry.targets().size(); ++slot) {
    const KnownTarget& target = board.registry.at(slot);
    if (!target.used) {
      continue;
    }
    targets.push_back(
      internal::describeTarget(target, board.observer.load(slot), now));
  }
  status["targets"] = std::move(targets);
  return boost::json::serialize(status);
}

}
