#include "TagReport.h"

#include "../Peer/PeerSeal.h"
#include "MetricsWriter.h"

#include <boost/json.hpp>

namespace buckthornwing {
namespace internal {

void
writeDecisions(const TagCounters& counters, MetricsWriter& writer)
{
  writer.family("decisions_total", "counter", "Packets, by outcome");
  for (std::size_t i = 0; i < counters.outcomes.size(); ++i) {
    const auto outcome = static_cast<SteeringOutcome>(i);
    writer.sample("decisions_total",
                  counters.outcomes[i],
                  label("outcome", steeringOutcomeName(outcome)));
  }
  writer.family("decision_reasons_total", "counter", "Packets, by reason");
  for (std::size_t i = 0; i < counters.decisions.size(); ++i) {
    const auto reason = static_cast<SteeringReason>(i);
    writer.sample("decision_reasons_total",
                  counters.decisions[i],
                  label("reason", steeringReasonName(reason)));
  }
}

void
writeHost(const TagHostCounters& host, MetricsWriter& writer)
{
  writer.single(
    "packets_total", "counter", "Datagrams of the fabric", host.packets);
  writer.family(
    "packet_faults_total", "counter", "Datagrams that are no packet");
  for (std::size_t i = 1; i < host.faults.size(); ++i) {
    writer.sample("packet_faults_total",
                  host.faults[i],
                  label("fault", packetFaultName(static_cast<PacketFault>(i))));
  }
  writer.single("packets_not_held_total",
                "counter",
                "Packets dropped because too many wait for a view",
                host.notHeld);
  writer.single("sends_lost_total",
                "counter",
                "Datagrams that the kernel did not take",
                host.sendsLost);
  writer.family("peer_faults_total", "counter", "Peer datagrams not taken");
  for (std::size_t i = 1; i < host.peerFaults.size(); ++i) {
    const auto fault = static_cast<PeerFault>(i);
    writer.sample("peer_faults_total",
                  host.peerFaults[i],
                  label("fault", peerFaultName(fault)));
  }
  writer.single("peer_bytes_sent_total",
                "counter",
                "Bytes sent to other instances",
                host.peerBytesSent);
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

/// A view that was never confirmed has no sample.
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

boost::json::value
ageOrNull(MilliTime confirmedAt, MilliTime now)
{
  const auto age = viewAge(confirmedAt, now);
  return age ? boost::json::value(age->ms) : boost::json::value(nullptr);
}

}

std::string
formatTagMetrics(const TagBoard& board,
                 const TagHostCounters& host,
                 MilliTime now)
{
  internal::MetricsWriter writer;
  internal::writeDecisions(board.counters, writer);
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
                board.counters.repeats);
  writer.single("registry_entries_unreadable_total",
                "counter",
                "Entries of the registry that are no target",
                board.counters.unreadableEntries);
  writer.single("peer_updates_malformed_total",
                "counter",
                "Views from peers that could not be read",
                board.counters.malformedUpdates);
  writer.single("tracked_flows",
                "gauge",
                "Flows whose packets pass here",
                board.observer.flowCount());
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
  return writer.str();
}

std::string
formatTagStatus(const TagBoard& board,
                const TagHostCounters& host,
                MilliTime now)
{
  boost::json::object status;
  status["id"] = board.settings.id;
  status["zone"] = board.settings.zone;
  status["stopping"] = board.stopping;
  status["routes_version"] = board.routes.version();
  status["routes_age_ms"] = internal::ageOrNull(board.routesConfirmedAt, now);
  status["targets_revision"] = board.registry.revision();
  status["targets_age_ms"] = internal::ageOrNull(board.targetsConfirmedAt, now);
  status["tracked_flows"] = board.observer.flowCount();
  boost::json::object outcomes;
  for (std::size_t i = 0; i < board.counters.outcomes.size(); ++i) {
    const auto outcome = static_cast<SteeringOutcome>(i);
    outcomes[steeringOutcomeName(outcome)] = board.counters.outcomes[i];
  }
  status["outcomes"] = std::move(outcomes);
  status["packets"] = host.packets;
  status["store_calls"] = host.storeCalls;
  boost::json::array targets;
  for (TargetSlot slot = 0; slot < board.registry.targets().size(); ++slot) {
    const KnownTarget& target = board.registry.at(slot);
    if (!target.used) {
      continue;
    }
    const TargetLoad& load = board.observer.load(slot);
    targets.push_back({ { "id", target.record.id },
                        { "takes_new_flows", target.takesNewFlows() },
                        { "flows", load.flows },
                        { "busy", load.busy },
                        { "service_ms", load.serviceMs },
                        { "peer_flows", load.peerFlows } });
  }
  status["targets"] = std::move(targets);
  return boost::json::serialize(status);
}

}
