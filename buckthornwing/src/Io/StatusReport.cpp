#include "StatusReport.h"

#include "../Peer/PeerCodec.h"

#include <boost/json.hpp>

namespace buckthornwing {
namespace internal {

namespace json = boost::json;

constexpr const char* kLivenessNames[] = { "unknown",
                                           "alive",
                                           "suspect",
                                           "dead" };
constexpr const char* kPhaseNames[] = { "joining",
                                        "live",
                                        "leaving",
                                        "stopped" };

json::array
describePeers(const Blackboard& board, MilliTime now)
{
  json::array peers;
  for (std::size_t i = 1; i < board.members.size(); ++i) {
    const Member& member = board.members[i];
    json::object peer;
    peer["id"] = member.id;
    peer["zone"] = member.zone;
    peer["liveness"] = kLivenessNames[static_cast<int>(member.liveness)];
    peer["phase"] = kPhaseNames[static_cast<int>(member.phase)];
    peer["revision"] = member.revision;
    if (member.lastHeard.ms >= 0) {
      peer["heard_ms_ago"] = (now - member.lastHeard).ms;
    }
    peers.push_back(std::move(peer));
  }
  return peers;
}

json::array
describeServices(const Blackboard& board)
{
  json::array services;
  for (const Service& service : board.services) {
    std::size_t unsettledBuckets = 0;
    for (const std::uint8_t flags : service.flags) {
      unsettledBuckets += (flags & ~bucket_flag::kFlexible) != 0 ? 1 : 0;
    }
    json::object item;
    item["name"] = service.config.name;
    item["published"] = service.published;
    item["selector_held_back"] = service.selectorInvalid;
    item["serving_targets"] = service.serving.size();
    item["unsettled_buckets"] = unsettledBuckets;
    item["buckets"] = service.flags.size();
    item["diversions"] = service.diversions.size();
    item["own_flows"] = service.ownFlows;
    item["peer_flows"] = service.peerFlows;
    item["placed"] = service.counters.placed;
    item["placed_by_load"] = service.counters.placedByLoad;
    item["refused"] = service.counters.refused;
    item["dropped"] = service.counters.dropped;
    item["forwarded"] = service.counters.forwarded;
    item["relayed"] = service.counters.relayed;
    services.push_back(std::move(item));
  }
  return services;
}

json::array
describeTargets(const Blackboard& board)
{
  json::array targets;
  for (const TargetIndex index : board.publishedTargets) {
    const Target& target = board.targets[index];
    json::object item;
    item["id"] = target.config.id;
    item["serving"] = target.serving();
    item["own_flows"] = target.ownFlows;
    item["peer_flows"] = target.peerFlows;
    item["failed_reports"] = target.failedReports;
    targets.push_back(std::move(item));
  }
  return targets;
}

json::object
describeDrops(const Counters& counters)
{
  json::object drops;
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    if (counters.dropped[i] != 0) {
      drops[reasonName(static_cast<Reason>(i))] = counters.dropped[i];
    }
  }
  return drops;
}

json::object
describeSlots(const Blackboard& board)
{
  std::size_t primary = 0;
  std::size_t lending = 0;
  std::size_t waiting = 0;
  for (const Slot& slot : board.slots) {
    primary += slot.owners.primary == kSelf ? 1 : 0;
    lending += slot.handingOver ? 1 : 0;
    waiting += slot.previousOwner != kNoMember ? 1 : 0;
  }
  return { { "primary", primary },
           { "lending", lending },
           { "waiting", waiting } };
}

json::object
describeTransport(const HostCounters& host)
{
  json::object faults;
  for (std::size_t i = 1; i < host.peerFaults.size(); ++i) {
    if (host.peerFaults[i] != 0) {
      faults[peerFaultName(static_cast<PeerFault>(i))] = host.peerFaults[i];
    }
  }
  return { { "control_bytes_sent", host.controlBytesSent },
           { "control_messages_sent", host.controlMessagesSent },
           { "relay_bytes_sent", host.relayBytesSent },
           { "peer_faults", std::move(faults) },
           { "sends_lost", host.sendsLost },
           { "log_lines_lost", host.logLinesLost },
           { "configuration_calls", host.configurationCalls },
           { "configuration_failures", host.configurationFailures },
           { "tick_mean_us", host.tickMeanMicroseconds },
           { "tick_most_us", host.tickMaxMicroseconds } };
}

}

std::string
formatStatus(const Engine& engine, const HostCounters& host, MilliTime now)
{
  const Blackboard& board = engine.blackboard();
  const Counters& counters = board.counters;
  boost::json::object status;
  status["id"] = board.self().id;
  status["zone"] = board.self().zone;
  status["state"] = lifecycleStateName(engine.lifecycleState());
  status["trusted"] = board.trust.trusted;
  status["revision"] = board.view.revision;
  status["revision_age_ms"] = (now - board.view.adoptedAt).ms;
  status["commit_pending"] = board.view.commitPending;
  if (board.view.lastPlatformContactAt.ms >= 0) {
    status["platform_heard_ms_ago"] =
      (now - board.view.lastPlatformContactAt).ms;
  }
  boost::json::array problems;
  for (const Problem& problem : engine.configurationProblems()) {
    problems.push_back(boost::json::object{ { "path", problem.path },
                                            { "expected", problem.expected } });
  }
  status["configuration_problems"] = std::move(problems);
  status["peers"] = internal::describePeers(board, now);
  status["slots"] = internal::describeSlots(board);
  status["services"] = internal::describeServices(board);
  status["targets"] = internal::describeTargets(board);
  status["flow_entries"] = board.flows.size();
  status["packets"] = counters.packets;
  status["forwarded"] = counters.forwarded;
  status["relayed"] = counters.relayed;
  status["refused"] = counters.refused;
  status["dropped"] = internal::describeDrops(counters);
  status["placed"] = counters.placed;
  status["adopted"] = counters.adopted;
  status["handed_over"] = counters.handedOver;
  status["backed_up"] = counters.backedUp;
  status["hinted"] = counters.hinted;
  status["pauses"] = counters.pauses;
  status["transport"] = internal::describeTransport(host);
  return boost::json::serialize(status);
}

}
