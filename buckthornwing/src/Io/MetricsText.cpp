#include "MetricsText.h"

#include "../Peer/PeerCodec.h"
#include "MetricsWriter.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace buckthornwing {
namespace internal {

namespace accumulators = boost::accumulators;
using DurationSet =
  accumulators::accumulator_set<double,
                                accumulators::stats<accumulators::tag::count,
                                                    accumulators::tag::mean,
                                                    accumulators::tag::max>>;

void
writePackets(const Counters& counters, MetricsWriter& writer)
{
  writer.family(
    "packets_total", "counter", "Packets from the fabric, by outcome");
  writer.sample(
    "packets_total", counters.forwarded, label("outcome", "forward"));
  writer.sample("packets_total", counters.relayed, label("outcome", "relay"));
  writer.sample("packets_total", counters.refused, label("outcome", "refuse"));
  writer.family("drops_total", "counter", "Packets dropped, by reason");
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    writer.sample("drops_total",
                  counters.dropped[i],
                  label("reason", reasonName(static_cast<Reason>(i))));
  }
}

void
writeServices(const Blackboard& board, MetricsWriter& writer)
{
  writer.family("service_flows", "gauge", "Open flows, summed over instances");
  for (const Service& service : board.services) {
    writer.sample("service_flows",
                  service.ownFlows + service.peerFlows,
                  label("service", service.config.name));
  }
  writer.family("service_placed_total", "counter", "New flows placed here");
  for (const Service& service : board.services) {
    writer.sample("service_placed_total",
                  service.counters.placed,
                  label("service", service.config.name));
  }
  writer.family("service_refused_total", "counter", "New flows refused here");
  for (const Service& service : board.services) {
    writer.sample("service_refused_total",
                  service.counters.refused,
                  label("service", service.config.name));
  }
  writer.family("service_selector_held_back",
                "gauge",
                "1 while the published selector is malformed");
  for (const Service& service : board.services) {
    writer.sample("service_selector_held_back",
                  service.selectorInvalid ? 1 : 0,
                  label("service", service.config.name));
  }
  writer.family("target_flows", "gauge", "Open flows of each target");
  for (const TargetIndex index : board.publishedTargets) {
    const Target& target = board.targets[index];
    writer.sample("target_flows",
                  target.ownFlows + target.peerFlows,
                  label("target", target.config.id));
  }
}

void
writeHost(const HostCounters& host, MetricsWriter& writer)
{
  writer.single("control_bytes_sent_total",
                "counter",
                "Bytes to other instances, relayed packets not counted",
                host.controlBytesSent);
  writer.family(
    "peer_faults_total", "counter", "Datagrams refused on the peer address");
  for (std::size_t i = 1; i < host.peerFaults.size(); ++i) {
    writer.sample("peer_faults_total",
                  host.peerFaults[i],
                  label("fault", peerFaultName(static_cast<PeerFault>(i))));
  }
  writer.single("sends_lost_total",
                "counter",
                "Datagrams that the kernel did not take",
                host.sendsLost);
  writer.single("log_lines_lost_total",
                "counter",
                "Log lines lost because the writer fell behind",
                host.logLinesLost);
  writer.single("configuration_failures_total",
                "counter",
                "Calls to the configuration service that failed",
                host.configurationFailures);
  writer.single("tick_microseconds_mean",
                "gauge",
                "Mean time of one pass over all controllers",
                host.tickMeanMicroseconds);
}

}

struct DurationStatistics::Accumulators
{
  internal::DurationSet set;
};

DurationStatistics::DurationStatistics()
  : accumulators(std::make_unique<Accumulators>())
{
}

DurationStatistics::~DurationStatistics() = default;

void
DurationStatistics::add(double microseconds)
{
  this->accumulators->set(microseconds);
}

double
DurationStatistics::mean() const
{
  const auto& set = this->accumulators->set;
  const bool any = boost::accumulators::count(set) > 0;
  return any ? boost::accumulators::mean(set) : 0;
}

double
DurationStatistics::max() const
{
  const auto& set = this->accumulators->set;
  const bool any = boost::accumulators::count(set) > 0;
  return any ? boost::accumulators::max(set) : 0;
}

std::string
formatMetrics(const Engine& engine, const HostCounters& host, MilliTime now)
{
  const Blackboard& board = engine.blackboard();
  internal::MetricsWriter writer;
  writer.single(
    "revision", "gauge", "Adopted configuration revision", board.view.revision);
  writer.single("view_trusted",
                "gauge",
                "1 while this instance acts on its own view",
                board.trust.trusted ? 1 : 0);
  const MilliTime contact = board.view.lastPlatformContactAt;
  writer.single("platform_silence_ms",
                "gauge",
                "Time since the configuration service answered, or -1",
                contact.ms < 0 ? -1 : (now - contact).ms);
  std::size_t reachable = 0;
  for (std::size_t i = 1; i < board.members.size(); ++i) {
    reachable += board.members[i].reachable() ? 1 : 0;
  }
  writer.single(
    "peers_reachable", "gauge", "Other instances in reach", reachable);
  writer.single(
    "flow_entries", "gauge", "Flow entries held", board.flows.size());
  writer.single("pauses_total",
                "counter",
                "Times this process did not run for a second or more",
                board.counters.pauses);
  internal::writePackets(board.counters, writer);
  internal::writeServices(board, writer);
  internal::writeHost(host, writer);
  return writer.str();
}

}
