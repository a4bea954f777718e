#ifndef BUCKTHORNWING_MEASURE_WORLD_TRAFFIC_H
#define BUCKTHORNWING_MEASURE_WORLD_TRAFFIC_H

#include "World.h"

/// \file
/// \brief The traffic of a World: packets of callers, their way through
/// instances to targets, and the figures counted from them.

namespace buckthornwing::measure {

template<Node Policy>
std::size_t
World<Policy>::pickInstance(const CallerFlow& flow)
{
  std::vector<std::size_t> choices;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const Instance& instance = this->instances[i];
    if (instance.alive && instance.inFabric &&
        this->net.reachable(flow.zone, instance.zone)) {
      choices.push_back(i);
    }
  }
  return choices.empty() ? this->instances.size()
                         : choices[this->net.random.below(choices.size())];
}

template<Node Policy>
void
World<Policy>::sendPacket(std::size_t number)
{
  CallerFlow& flow = this->flows[number];
  const std::size_t index = this->pickInstance(flow);
  if (index == this->instances.size()) {
    return;
  }
  const MilliDuration delay{ this->published.deployment.callerDelayMs };
  this->net.schedule(
    delay, [this, number, index] { this->onPacketAtInstance(number, index); });
}

template<Node Policy>
void
World<Policy>::onPacketAtInstance(std::size_t number, std::size_t index)
{
  Instance& instance = this->instances[index];
  if (this->deferWhilePaused(instance, [this, number, index] {
        this->onPacketAtInstance(number, index);
      })) {
    return;
  }
  const std::vector<std::uint8_t> packet =
    buildCallerPacket(this->flows[number], number);
  NodeDecision decision = instance.node->onPacket(packet, this->now());
  if (this->measuring) {
    ++this->packets;
    this->relays += decision.outcome == Outcome::relay ? 1 : 0;
  }
  if (decision.outcome == Outcome::relay) {
    this->countCrossZoneRelay(index, decision.relayed);
  }
  this->executeDecision(index, std::move(decision), packet);
  this->flush(index);
}

template<Node Policy>
void
World<Policy>::countCrossZoneRelay(std::size_t index,
                                   const OutgoingMessage& relayed)
{
  const auto found = this->instanceByPort.find(relayed.address.port);
  if (this->measuring && found != this->instanceByPort.end() &&
      this->instances[found->second].zone != this->instances[index].zone) {
    ++this->crossZoneRelays;
  }
}

template<Node Policy>
void
World<Policy>::executeDecision(std::size_t index,
                               NodeDecision decision,
                               PacketBytes packet)
{
  Instance& instance = this->instances[index];
  if (decision.outcome == Outcome::relay) {
    this->sendMessage(index, decision.relayed);
    return;
  }
  const PacketPayload content = readPayload(packet);
  const std::size_t number = content.flow;
  if (decision.outcome == Outcome::drop) {
    this->recordDrop(number, decision.reason);
  } else if (decision.outcome == Outcome::forward) {
    const TargetConfig* config = this->findTarget(decision.target);
    if (config == nullptr) {
      return;
    }
    if (!this->net.reachable(instance.zone, config->zone)) {
      this->flows[number].separatedByPartition = true;
    }
    const std::string id(decision.target);
    const std::uint64_t request = content.request;
    this->net.transmit(
      instance.zone, config->zone, {}, [this, number, id, request] {
        this->onPacketAtTarget(number, id, request);
      });
  } else if (decision.outcome == Outcome::refuse) {
    this->handleRefusal(number);
  }
}

template<Node Policy>
void
World<Policy>::recordDrop(std::size_t number, Reason reason)
{
  if (!this->measuring) {
    return;
  }
  const bool opening = !this->flows[number].established;
  auto& drops = opening ? this->result.openingDrops : this->result.otherDrops;
  ++drops[static_cast<std::size_t>(reason)];
}

template<Node Policy>
void
World<Policy>::handleRefusal(std::size_t number)
{
  CallerFlow& flow = this->flows[number];
  if (flow.ended) {
    return;
  }
  if (flow.established) {
    this->breakFlow(flow);
    return;
  }
  if (flow.counted) {
    ++this->result.refused;
    this->result.falseRefusals += flow.opened ? 1 : 0;
  }
  this->endFlow(flow);
  this->replaceFlow(flow);
}

template<Node Policy>
void
World<Policy>::onPacketAtTarget(std::size_t number,
                                const std::string& id,
                                std::uint64_t request)
{
  CallerFlow& flow = this->flows[number];
  if (flow.ended) {
    return;
  }
  const std::string& service = this->services()[flow.service].name;
  if (!this->everSelected[service].contains(id)) {
    ++this->result.misdelivered;
  }
  if (!flow.opened) {
    this->openAtTarget(flow, id);
  } else if (flow.target != id) {
    // Another target holds the flow. An opening is executed a second time; any
    // other packet is answered with a reset.
    if (!flow.established) {
      this->result.ranTwice += flow.counted ? 1 : 0;
    }
    this->breakFlow(flow);
    return;
  }
  if (request != flow.request || flow.answered) {
    return;
  }
  const MilliDuration delay{ this->published.deployment.callerDelayMs };
  this->net.schedule(delay, [this, number, request] {
    this->onAnswerAtCaller(number, request);
  });
}

template<Node Policy>
void
World<Policy>::openAtTarget(CallerFlow& flow, const std::string& id)
{
  flow.opened = true;
  flow.target = id;
  this->openFlowCounts.open(this->services()[flow.service].name, id);
  constexpr MilliDuration kDrainGraceTime{ 3000 };
  const auto drained = this->drainedAt.find(id);
  const bool late = drained != this->drainedAt.end() &&
                    this->now() - drained->second > kDrainGraceTime;
  this->result.latePlacements += late && flow.counted ? 1 : 0;
}

template<Node Policy>
void
World<Policy>::onAnswerAtCaller(std::size_t number, std::uint64_t request)
{
  CallerFlow& flow = this->flows[number];
  if (flow.ended || flow.answered || request != flow.request) {
    return;
  }
  flow.answered = true;
  constexpr MilliDuration kSlowOpeningTime{ 500 };
  if (!flow.established && this->measuring && flow.counted &&
      this->now() - flow.requestedAt > kSlowOpeningTime) {
    ++this->result.slowOpenings;
  }
  flow.established = true;
  if (flow.closing) {
    this->endFlow(flow);
    this->replaceFlow(flow);
    return;
  }
  const double interval =
    this->services()[flow.service].packetIntervalSeconds * 1000;
  const double pause = interval * (0.5 + this->net.random.unit());
  this->net.schedule(MilliDuration{ static_cast<std::int64_t>(pause) },
                     [this, number] { this->sendRequest(number); });
}

template<Node Policy>
void
World<Policy>::openFlow(std::size_t service, bool fromFlood)
{
  const ServiceLoad& load = this->services()[service];
  const auto& zones = this->published.deployment.zones;
  CallerFlow flow;
  flow.service = service;
  flow.fromFlood = fromFlood;
  flow.zone = zones[this->net.random.below(zones.size())];
  const auto port =
    static_cast<std::uint16_t>(1024 + this->net.random.below(60000));
  flow.key = makeCallerKey(++this->nextCaller, port, load.address);
  flow.counted =
    this->countedService.empty() || this->countedService == load.name;
  const double lifetime =
    -load.meanLifetimeSeconds * std::log(1 - this->net.random.unit());
  flow.closeAt =
    this->now() + MilliDuration{ static_cast<std::int64_t>(lifetime * 1000) };
  this->flowsCounted += flow.counted ? 1 : 0;
  this->flows.push_back(std::move(flow));
  this->sendRequest(this->flows.size() - 1);
}

template<Node Policy>
void
World<Policy>::sendRequest(std::size_t number)
{
  constexpr MilliDuration kDataRetransmitTimeout{ 300 };
  constexpr MilliDuration kOpeningRetransmitTimeout{ 1000 };
  CallerFlow& flow = this->flows[number];
  if (flow.ended) {
    return;
  }
  flow.closing = flow.established && this->now() >= flow.closeAt;
  ++flow.request;
  flow.answered = false;
  flow.separatedByPartition = false;
  flow.requestedAt = this->now();
  flow.retransmitTimeout =
    flow.established ? kDataRetransmitTimeout : kOpeningRetransmitTimeout;
  this->sendPacket(number);
  this->scheduleRetransmission(number);
}

template<Node Policy>
void
World<Policy>::scheduleRetransmission(std::size_t number)
{
  const std::uint64_t request = this->flows[number].request;
  this->net.schedule(
    this->flows[number].retransmitTimeout,
    [this, number, request] { this->retransmitIfUnanswered(number, request); });
}

template<Node Policy>
void
World<Policy>::retransmitIfUnanswered(std::size_t number, std::uint64_t request)
{
  constexpr MilliDuration kAnswerTimeout{ 30000 };
  constexpr std::int64_t kMaxRetransmitTimeoutMs = 4000;
  CallerFlow& flow = this->flows[number];
  if (flow.ended || flow.answered || flow.request != request) {
    return;
  }
  const TargetConfig* config = this->findTarget(flow.target);
  const bool targetUnreachable = flow.opened && config != nullptr &&
                                 !this->net.reachable(flow.zone, config->zone);
  flow.separatedByPartition = flow.separatedByPartition || targetUnreachable;
  if (this->now() - flow.requestedAt >= kAnswerTimeout &&
      !flow.separatedByPartition) {
    this->breakFlow(flow);
    return;
  }
  flow.retransmitTimeout.ms =
    std::min(2 * flow.retransmitTimeout.ms, kMaxRetransmitTimeoutMs);
  this->sendPacket(number);
  this->scheduleRetransmission(number);
}

template<Node Policy>
void
World<Policy>::breakFlow(CallerFlow& flow)
{
  if (flow.counted) {
    ++(flow.separatedByPartition ? this->result.unreachable
                                 : this->result.broken);
  }
  this->endFlow(flow);
  this->replaceFlow(flow);
}

template<Node Policy>
void
World<Policy>::endFlow(CallerFlow& flow)
{
  flow.ended = true;
  if (flow.opened) {
    this->openFlowCounts.close(this->services()[flow.service].name,
                               flow.target);
  }
}

template<Node Policy>
void
World<Policy>::replaceFlow(const CallerFlow& flow)
{
  if (flow.fromFlood) {
    return;
  }
  const std::size_t service = flow.service;
  const auto delay = this->net.random.below(200);
  this->net.schedule(MilliDuration{ static_cast<std::int64_t>(delay) },
                     [this, service] { this->openFlow(service); });
}

template<Node Policy>
void
World<Policy>::sampleImbalance()
{
  double worst = 1;
  for (const ServiceLoad& load : this->services()) {
    if (this->countedService.empty() || this->countedService == load.name) {
      worst = std::max(
        worst, this->openFlowCounts.imbalance(this->published, load.name));
    }
  }
  this->imbalanceSum += worst;
  ++this->imbalanceSamples;
  this->net.schedule(MilliDuration{ 1000 },
                     [this] { this->sampleImbalance(); });
}

}

#endif
