#ifndef BUCKTHORNWING_MEASURE_WORLD_TRAFFIC_H
#define BUCKTHORNWING_MEASURE_WORLD_TRAFFIC_H

#include "World.h"

/// \file
/// \brief What World's callers send, what instances do with it, and what is
/// counted of it.

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
  const MilliDuration delay{ this->published.deployment.fromCallersMs };
  this->net.after(
    delay, [this, number, index] { this->packetAtInstance(number, index); });
}

template<Node Policy>
void
World<Policy>::packetAtInstance(std::size_t number, std::size_t index)
{
  Instance& instance = this->instances[index];
  if (this->asleep(instance, [this, number, index] {
        this->packetAtInstance(number, index);
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
    this->countCrossZone(index, decision.relayed);
  }
  this->carryOut(index, std::move(decision), packet);
  this->flush(index);
}

template<Node Policy>
void
World<Policy>::countCrossZone(std::size_t index, const OutgoingMessage& relayed)
{
  const auto found = this->instanceAt.find(relayed.address.port);
  if (this->measuring && found != this->instanceAt.end() &&
      this->instances[found->second].zone != this->instances[index].zone) {
    ++this->crossZoneRelays;
  }
}

template<Node Policy>
void
World<Policy>::carryOut(std::size_t index,
                        NodeDecision decision,
                        PacketBytes packet)
{
  Instance& instance = this->instances[index];
  if (decision.outcome == Outcome::relay) {
    this->sendMessage(index, decision.relayed);
    return;
  }
  const PacketNote note = readNote(packet);
  const std::size_t number = note.flow;
  if (decision.outcome == Outcome::drop) {
    this->noteDrop(number, decision.reason);
  } else if (decision.outcome == Outcome::forward) {
    const TargetConfig* config = this->findTarget(decision.target);
    if (config == nullptr) {
      return;
    }
    if (!this->net.reachable(instance.zone, config->zone)) {
      this->flows[number].excused = true;
    }
    const std::string id(decision.target);
    const std::uint64_t request = note.request;
    this->net.carry(
      instance.zone, config->zone, {}, [this, number, id, request] {
        this->packetAtTarget(number, id, request);
      });
  } else if (decision.outcome == Outcome::refuse) {
    this->refused(number);
  }
}

template<Node Policy>
void
World<Policy>::noteDrop(std::size_t number, Reason reason)
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
World<Policy>::refused(std::size_t number)
{
  CallerFlow& flow = this->flows[number];
  if (flow.over) {
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
World<Policy>::packetAtTarget(std::size_t number,
                              const std::string& id,
                              std::uint64_t request)
{
  CallerFlow& flow = this->flows[number];
  if (flow.over) {
    return;
  }
  const std::string& service = this->services()[flow.service].name;
  if (!this->everSelected[service].contains(id)) {
    ++this->result.misdelivered;
  }
  if (!flow.opened) {
    this->openAtTarget(flow, id);
  } else if (flow.target != id) {
    // Another target has the flow: an opening runs a second time, any other
    // packet is answered with a reset.
    if (!flow.established) {
      this->result.ranTwice += flow.counted ? 1 : 0;
    }
    this->breakFlow(flow);
    return;
  }
  if (request != flow.request || flow.answered) {
    return;
  }
  const MilliDuration delay{ this->published.deployment.fromCallersMs };
  this->net.after(
    delay, [this, number, request] { this->answerAtCaller(number, request); });
}

template<Node Policy>
void
World<Policy>::openAtTarget(CallerFlow& flow, const std::string& id)
{
  flow.opened = true;
  flow.target = id;
  this->open.open(this->services()[flow.service].name, id);
  constexpr MilliDuration kGrace{ 3000 };
  const auto drained = this->drainedAt.find(id);
  const bool late =
    drained != this->drainedAt.end() && this->now() - drained->second > kGrace;
  this->result.latePlacements += late && flow.counted ? 1 : 0;
}

template<Node Policy>
void
World<Policy>::answerAtCaller(std::size_t number, std::uint64_t request)
{
  CallerFlow& flow = this->flows[number];
  if (flow.over || flow.answered || request != flow.request) {
    return;
  }
  flow.answered = true;
  constexpr MilliDuration kSlow{ 500 };
  if (!flow.established && this->measuring && flow.counted &&
      this->now() - flow.askedAt > kSlow) {
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
  this->net.after(MilliDuration{ static_cast<std::int64_t>(pause) },
                  [this, number] { this->ask(number); });
}

template<Node Policy>
void
World<Policy>::openFlow(std::size_t service, bool floods)
{
  const ServiceLoad& load = this->services()[service];
  const auto& zones = this->published.deployment.zones;
  CallerFlow flow;
  flow.service = service;
  flow.floods = floods;
  flow.zone = zones[this->net.random.below(zones.size())];
  const auto port =
    static_cast<std::uint16_t>(1024 + this->net.random.below(60000));
  flow.key = makeCallerKey(++this->nextCaller, port, load.address);
  flow.counted =
    this->countedService.empty() || this->countedService == load.name;
  const double life =
    -load.meanLifeSeconds * std::log(1 - this->net.random.unit());
  flow.closeAt =
    this->now() + MilliDuration{ static_cast<std::int64_t>(life * 1000) };
  this->flowsCounted += flow.counted ? 1 : 0;
  this->flows.push_back(std::move(flow));
  this->ask(this->flows.size() - 1);
}

template<Node Policy>
void
World<Policy>::ask(std::size_t number)
{
  constexpr MilliDuration kDataWait{ 300 };
  constexpr MilliDuration kOpeningWait{ 1000 };
  CallerFlow& flow = this->flows[number];
  if (flow.over) {
    return;
  }
  flow.closing = flow.established && this->now() >= flow.closeAt;
  ++flow.request;
  flow.answered = false;
  flow.excused = false;
  flow.askedAt = this->now();
  flow.wait = flow.established ? kDataWait : kOpeningWait;
  this->sendPacket(number);
  this->checkLater(number);
}

template<Node Policy>
void
World<Policy>::checkLater(std::size_t number)
{
  const std::uint64_t request = this->flows[number].request;
  this->net.after(this->flows[number].wait,
                  [this, number, request] { this->check(number, request); });
}

template<Node Policy>
void
World<Policy>::check(std::size_t number, std::uint64_t request)
{
  constexpr MilliDuration kBrokenAfter{ 30000 };
  constexpr std::int64_t kMostWaitMs = 4000;
  CallerFlow& flow = this->flows[number];
  if (flow.over || flow.answered || flow.request != request) {
    return;
  }
  const TargetConfig* config = this->findTarget(flow.target);
  const bool beyond = flow.opened && config != nullptr &&
                      !this->net.reachable(flow.zone, config->zone);
  flow.excused = flow.excused || beyond;
  if (this->now() - flow.askedAt >= kBrokenAfter && !flow.excused) {
    this->breakFlow(flow);
    return;
  }
  flow.wait.ms = std::min(2 * flow.wait.ms, kMostWaitMs);
  this->sendPacket(number);
  this->checkLater(number);
}

template<Node Policy>
void
World<Policy>::breakFlow(CallerFlow& flow)
{
  if (flow.counted) {
    ++(flow.excused ? this->result.unreachable : this->result.broken);
  }
  this->endFlow(flow);
  this->replaceFlow(flow);
}

template<Node Policy>
void
World<Policy>::endFlow(CallerFlow& flow)
{
  flow.over = true;
  if (flow.opened) {
    this->open.close(this->services()[flow.service].name, flow.target);
  }
}

template<Node Policy>
void
World<Policy>::replaceFlow(const CallerFlow& flow)
{
  if (flow.floods) {
    return;
  }
  const std::size_t service = flow.service;
  const auto delay = this->net.random.below(200);
  this->net.after(MilliDuration{ static_cast<std::int64_t>(delay) },
                  [this, service] { this->openFlow(service); });
}

template<Node Policy>
void
World<Policy>::sampleImbalance()
{
  double worst = 1;
  for (const ServiceLoad& load : this->services()) {
    if (this->countedService.empty() || this->countedService == load.name) {
      worst = std::max(worst, this->open.imbalance(this->published, load.name));
    }
  }
  this->imbalanceSum += worst;
  ++this->imbalanceSamples;
  this->net.after(MilliDuration{ 1000 }, [this] { this->sampleImbalance(); });
}

}

#endif
