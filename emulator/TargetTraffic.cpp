#include "TargetTraffic.h"

#include <platform/PacketCodec.h>

#include <boost/endian/conversion.hpp>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kServiceTime{ 15 };
/// \brief Network delay from a target to a caller.
constexpr MilliDuration kReplyDelay{ 2 };
constexpr std::uint32_t kAnswerBytes = 100;

}

void
TargetTraffic::onDatagram(Target& target,
                          std::span<const std::uint8_t> bytes,
                          const Endpoint& from)
{
  CallerPacket packet;
  if (bytes.size() < platform::kTargetPrefixBytes ||
      platform::PacketCodec::parse(bytes.subspan(platform::kTargetPrefixBytes),
                                   packet) != PacketFault::none) {
    this->guarantees.reportViolation("packets_unchanged",
                                     "a target received an invalid packet");
    return;
  }
  const std::uint64_t number = boost::endian::load_big_u64(bytes.data());
  if (!packet.isOpening) {
    this->hooks.onPacket(packet, number);
  }
  if (number != target.number || target.state == Target::State::silent) {
    return;
  }
  if (packet.isOpening) {
    this->onOpening(target, packet, from);
  } else {
    this->onData(target, packet);
  }
}

void
TargetTraffic::onOpening(Target& target,
                         const CallerPacket& packet,
                         const Endpoint& from)
{
  this->hooks.onOpening(packet, target, from);
  const auto sequence = static_cast<std::uint32_t>(mixWords(
    target.number + target.incarnation, flowIdOf(packet.flow, 1).bits));
  const auto [found, isNew] = target.flows.try_emplace(
    packet.flow, Target::FlowState{ packet.tag, sequence });
  if (found->second.tag != packet.tag) {
    this->guarantees.reportViolation("one_tag", formatFlowKey(packet.flow));
  }
  TargetMessage message;
  message.kind = TargetMessage::Kind::accept;
  message.flow = packet.flow;
  message.sequence = sequence + 1;
  this->send(target, message);
}

void
TargetTraffic::onData(Target& target, const CallerPacket& packet)
{
  const auto found = target.flows.find(packet.flow);
  if (found == target.flows.end()) {
    TargetMessage message;
    message.kind = TargetMessage::Kind::reset;
    message.flow = packet.flow;
    if (!packet.isFinish) {
      this->send(target, message);
    }
    return;
  }
  if (packet.isFinish) {
    target.flows.erase(found);
    return;
  }
  if (packet.payload.empty() ||
      !found->second.receivedSequences.insert(packet.sequence).second) {
    return;
  }
  const std::string id(platform::PacketCodec::requestId(packet.payload));
  const FlowKey flow = packet.flow;
  if (target.busySlots < this->deployment.services[target.service].slots) {
    this->startWork(target, flow, id);
  } else {
    target.waitingRequests.push_back(
      [this, &target, flow, id] { this->startWork(target, flow, id); });
  }
}

void
TargetTraffic::startWork(Target& target,
                         const FlowKey& flow,
                         const std::string& id)
{
  ++target.busySlots;
  const std::uint64_t incarnation = target.incarnation;
  this->timers.after(internal::kServiceTime,
                     [this, &target, incarnation, flow, id] {
                       this->finishWork(target, incarnation, flow, id);
                     });
}

void
TargetTraffic::finishWork(Target& target,
                          std::uint64_t incarnation,
                          const FlowKey& flow,
                          const std::string& id)
{
  if (target.busySlots > 0) {
    --target.busySlots;
  }
  if (!target.waitingRequests.empty()) {
    const auto next = std::move(target.waitingRequests.front());
    target.waitingRequests.pop_front();
    next();
  }
  const auto found = target.flows.find(flow);
  if (target.incarnation != incarnation || found == target.flows.end()) {
    return;
  }
  TargetMessage message;
  message.kind = TargetMessage::Kind::answer;
  message.flow = flow;
  message.requestId = id;
  found->second.sequence += internal::kAnswerBytes;
  message.sequence = found->second.sequence + 1;
  this->send(target, message);
  if (target.state == Target::State::draining) {
    message.kind = TargetMessage::Kind::finish;
    this->send(target, message);
  }
}

void
TargetTraffic::send(const Target& target, TargetMessage message)
{
  message.target = target.number;
  const auto found = target.flows.find(message.flow);
  message.tag = found == target.flows.end() ? FlowTag{} : found->second.tag;
  this->timers.after(internal::kReplyDelay, [this, &target, message] {
    const bool isSender = target.number == message.target;
    if (isSender && target.state != Target::State::silent) {
      this->hooks.onMessage(message);
    }
  });
}

}
