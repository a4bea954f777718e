#include "Callers.h"

#include <standin/FabricPacket.h>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kTickPeriod{ 10 };
/// \brief Times of the opening packets of a flow, relative to the first one.
constexpr std::array<MilliDuration, CallerFlow::kMaxOpenings> kOpeningDelays{
  { { 0 }, { 200 }, { 600 } }
};
constexpr MilliDuration kOpeningTimeout{ 1400 };
constexpr MilliDuration kMinRetransmitInterval{ 200 };
constexpr MilliDuration kMaxRetransmitInterval{ 1600 };
/// \brief Time limit of a request, including all attempts.
constexpr MilliDuration kRequestTimeout{ 5000 };
constexpr MilliDuration kMaxFlowAge{ 8000 };
/// \brief Upper limit of the pause of a caller between two requests.
constexpr std::int64_t kMaxPauseMs = 500;
constexpr int kMaxAttempts = 3;
/// \brief Time for which closed flows are kept, so that packets that are still
/// in transit can be checked.
constexpr MilliDuration kClosedFlowRetention{ 5000 };

}

const char*
requestOutcomeName(RequestOutcome outcome)
{
  switch (outcome) {
    case RequestOutcome::answered:
      return "request_answered";
    case RequestOutcome::abandoned:
      return "request_abandoned";
    case RequestOutcome::deadline:
      return "request_deadline";
  }
  return "unknown";
}

Callers::Callers(EmulationParts& parts, CallerHooks hooks, std::uint64_t seed)
  : parts(parts)
  , hooks(std::move(hooks))
  , random{ seed }
{
}

boost::leaf::result<void>
Callers::start()
{
  const std::vector<ZoneShape>& zones = this->parts.deployment.zones;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    this->sockets.push_back(
      std::make_unique<DatagramSocket>(this->parts.context));
    BOOST_LEAF_CHECK(this->sockets.back()->open(
      this->parts.addresses.callers(zone),
      [this](std::span<const std::uint8_t> bytes, const Endpoint& from) {
        this->onReset(bytes, from);
      }));
    for (std::size_t i = 0; i < zones[zone].callers; ++i) {
      this->callers.push_back({ zone, {}, {}, bootTime() });
    }
  }
  this->parts.timers.every(internal::kTickPeriod, [this] { this->tick(); });
  return {};
}

const std::string&
Callers::zoneOf(const CallerFlow& flow) const
{
  return this->parts.deployment.zones[this->callers[flow.caller].zone].name;
}

const CallerFlow*
Callers::find(const FlowKey& key) const
{
  const auto found = this->flows.find(key);
  return found == this->flows.end() ? nullptr : &found->second;
}

void
Callers::tick()
{
  const MilliTime now = bootTime();
  for (std::size_t i = 0; i < this->callers.size(); ++i) {
    this->tickCaller(i, now);
  }
  for (auto& [key, flow] : this->flows) {
    this->tickFlow(flow, now);
  }
  std::erase_if(this->flows, [&](const auto& entry) {
    return entry.second.state == CallerFlow::State::closed &&
           now - entry.second.lastUsedAt > internal::kClosedFlowRetention;
  });
}

void
Callers::tickCaller(std::size_t index, MilliTime now)
{
  Caller& caller = this->callers[index];
  if (caller.request) {
    if (now - caller.request->requestedAt > internal::kRequestTimeout) {
      this->endRequest(index, RequestOutcome::deadline);
    }
    return;
  }
  if (now < caller.nextRequestAt || this->areRequestsStopped) {
    return;
  }
  caller.request = CallerRequest{ now, 0, {} };
  CallerFlow* flow = caller.flow ? &this->flows.at(*caller.flow) : nullptr;
  if (flow != nullptr && now - flow->openedAt > internal::kMaxFlowAge) {
    this->closeFlow(*flow);
    flow = nullptr;
  }
  if (flow == nullptr) {
    this->openFlow(index, now);
  } else {
    this->sendRequest(*flow, now);
  }
}

void
Callers::tickFlow(CallerFlow& flow, MilliTime now)
{
  if (flow.state == CallerFlow::State::opening) {
    const MilliDuration passed = now - flow.openingTimes[0];
    if (passed >= internal::kOpeningTimeout) {
      this->onFlowFailure(flow, false);
    } else if (flow.openingCount < CallerFlow::kMaxOpenings &&
               passed >= internal::kOpeningDelays[flow.openingCount]) {
      this->sendOpening(flow, now);
    }
  } else if (flow.state == CallerFlow::State::open &&
             !flow.pendingRequest.empty() && now >= flow.retransmitAt) {
    this->sendData(flow, flow.pendingRequest, false);
    flow.retransmitInterval =
      std::min(internal::kMaxRetransmitInterval,
               flow.retransmitInterval + flow.retransmitInterval);
    flow.retransmitAt = now + flow.retransmitInterval;
  }
}

void
Callers::openFlow(std::size_t index, MilliTime now)
{
  Caller& caller = this->callers[index];
  CallerFlow flow;
  flow.caller = index;
  flow.route = this->random.next() % Routes::kRouteCount;
  for (std::size_t i = 0;
       i < Routes::kRouteCount && !this->parts.routes.serviceOf(flow.route);
       ++i) {
    flow.route = (flow.route + 1) % Routes::kRouteCount;
  }
  this->nextPort = this->nextPort == 0xffff ? 1024 : this->nextPort + 1;
  flow.key.source = this->parts.addresses.callers(caller.zone);
  flow.key.source.port = this->nextPort;
  flow.key.destination = this->parts.addresses.destination(flow.route);
  flow.sequence = static_cast<std::uint32_t>(this->random.next());
  flow.lastUsedAt = now;
  caller.flow = flow.key;
  ++caller.request->attempts;
  this->parts.guarantees.count("flows");
  CallerFlow& placed = this->flows[flow.key] = flow;
  this->sendOpening(placed, now);
}

void
Callers::sendOpening(CallerFlow& flow, MilliTime now)
{
  CallerPacket packet;
  packet.flow = flow.key;
  packet.isOpening = true;
  packet.openingCopyIndex = static_cast<std::uint32_t>(flow.openingCount);
  packet.sequence = flow.sequence;
  flow.openingTimes[flow.openingCount++] = now;
  this->parts.fabric.send(this->zoneOf(flow), packet);
}

void
Callers::sendRequest(CallerFlow& flow, MilliTime now)
{
  CallerRequest& request = *this->callers[flow.caller].request;
  request.id = "q" + std::to_string(this->nextRequestNumber++);
  flow.pendingRequest =
    "GET / HTTP/1.1\r\nRequest-Id: " + request.id + "\r\n\r\n";
  flow.lastUsedAt = now;
  flow.retransmitInterval = internal::kMinRetransmitInterval;
  flow.retransmitAt = now + flow.retransmitInterval;
  this->sendData(flow, flow.pendingRequest, false);
}

void
Callers::sendData(const CallerFlow& flow, std::string_view text, bool finishes)
{
  CallerPacket packet;
  packet.flow = flow.key;
  packet.tag = flow.tag;
  packet.isFinish = finishes;
  packet.sequence = flow.sequence + 1;
  packet.acknowledged = flow.acknowledged;
  packet.payload =
    std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  this->parts.fabric.send(this->zoneOf(flow), packet);
}

void
Callers::closeFlow(CallerFlow& flow)
{
  if (flow.state == CallerFlow::State::open) {
    this->sendData(flow, {}, true);
  }
  flow.state = CallerFlow::State::closed;
  flow.lastUsedAt = bootTime();
  Caller& caller = this->callers[flow.caller];
  if (caller.flow == flow.key) {
    caller.flow.reset();
  }
}

void
Callers::onFlowFailure(CallerFlow& flow, bool mayHaveExecuted)
{
  const std::size_t index = flow.caller;
  const bool isRepeatable =
    Routes::isIdempotent(flow.route) || !mayHaveExecuted;
  flow.pendingRequest.clear();
  this->closeFlow(flow);
  Caller& caller = this->callers[index];
  if (!caller.request) {
    return;
  }
  if (!isRepeatable || caller.request->attempts >= internal::kMaxAttempts) {
    this->endRequest(index, RequestOutcome::abandoned);
    return;
  }
  this->openFlow(index, bootTime());
}

void
Callers::endRequest(std::size_t index, RequestOutcome outcome)
{
  Caller& caller = this->callers[index];
  const CallerRequest request = *caller.request;
  caller.request.reset();
  const MilliTime now = bootTime();
  caller.nextRequestAt = now + MilliDuration{ static_cast<std::int64_t>(
                                 this->random.next() % internal::kMaxPauseMs) };
  this->parts.guarantees.count(requestOutcomeName(outcome));
  if (outcome == RequestOutcome::answered) {
    return;
  }
  if (this->answersRequiredFrom &&
      request.requestedAt >= *this->answersRequiredFrom) {
    this->parts.guarantees.reportViolation(
      "all_answered",
      request.id + " " + requestOutcomeName(outcome) + ", caller " +
        std::to_string(index) +
        (caller.flow ? " " + formatFlowKey(*caller.flow) : std::string()));
  }
  if (caller.flow) {
    this->closeFlow(this->flows.at(*caller.flow));
  }
}

void
Callers::onMessage(const TargetMessage& message)
{
  const auto found = this->flows.find(message.flow);
  if (found == this->flows.end()) {
    return;
  }
  CallerFlow& flow = found->second;
  Caller& caller = this->callers[flow.caller];
  if (message.kind == TargetMessage::Kind::accept) {
    if (flow.state != CallerFlow::State::opening) {
      return;
    }
    flow.state = CallerFlow::State::open;
    flow.target = message.target;
    const Target* target = this->parts.targets.find(message.target);
    flow.targetIncarnation = target == nullptr ? 0 : target->incarnation;
    flow.tag = message.tag;
    flow.acknowledged = message.sequence;
    flow.openedAt = bootTime();
    if (caller.request) {
      this->sendRequest(flow, bootTime());
    }
    return;
  }
  if (flow.state != CallerFlow::State::open || flow.target != message.target) {
    return;
  }
  switch (message.kind) {
    case TargetMessage::Kind::answer:
      flow.acknowledged = message.sequence;
      flow.sequence += static_cast<std::uint32_t>(flow.pendingRequest.size());
      flow.pendingRequest.clear();
      flow.lastUsedAt = bootTime();
      this->sendData(flow, {}, false);
      if (caller.request && caller.request->id == message.requestId) {
        this->endRequest(flow.caller, RequestOutcome::answered);
      }
      break;
    case TargetMessage::Kind::finish:
      this->onFlowFailure(flow, !flow.pendingRequest.empty());
      break;
    case TargetMessage::Kind::reset:
      this->onFlowFailure(flow, true);
      break;
    case TargetMessage::Kind::accept:
      break;
  }
}

void
Callers::onReset(std::span<const std::uint8_t> bytes, const Endpoint& from)
{
  const auto key = standin::parseReset(bytes);
  if (!key) {
    this->parts.guarantees.reportViolation(
      "resets_only", "a caller received a datagram that is not a reset");
    return;
  }
  const auto found = this->flows.find(*key);
  if (found == this->flows.end() ||
      found->second.state == CallerFlow::State::closed) {
    return;
  }
  CallerFlow& flow = found->second;
  this->parts.guarantees.count("resets");
  this->hooks.onReset(flow, from);
  this->onFlowFailure(flow,
                      flow.state == CallerFlow::State::open &&
                        !flow.pendingRequest.empty());
}

}
