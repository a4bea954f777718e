#include "Callers.h"

#include <standin/FabricPacket.h>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kTick{ 10 };
constexpr std::array<MilliDuration, CallerFlow::kOpenings> kOpeningsAfter{
  { { 0 }, { 200 }, { 600 } }
};
constexpr MilliDuration kOpeningEnds{ 1400 };
constexpr MilliDuration kFirstRepeat{ 200 };
constexpr MilliDuration kLastRepeat{ 1600 };
constexpr MilliDuration kDeadline{ 5000 };
constexpr MilliDuration kFlowLife{ 8000 };
constexpr std::int64_t kMostPauseMs = 500;
constexpr int kMostTries = 3;
/// \brief Ended flows are known for a while, for packets under way.
constexpr MilliDuration kFlowMemory{ 5000 };

}

const char*
requestEndName(RequestEnd end)
{
  switch (end) {
    case RequestEnd::answered:
      return "request_answered";
    case RequestEnd::abandoned:
      return "request_abandoned";
    case RequestEnd::deadline:
      return "request_deadline";
  }
  return "unknown";
}

Callers::Callers(World& world, CallerHooks hooks, std::uint64_t seed)
  : world(world)
  , hooks(std::move(hooks))
  , random{ seed }
  , sockets{ Datagrams(world.context), Datagrams(world.context) }
{
}

boost::leaf::result<void>
Callers::start(std::size_t count)
{
  for (std::size_t zone = 0; zone < this->sockets.size(); ++zone) {
    BOOST_LEAF_CHECK(this->sockets[zone].open(
      this->world.addresses.callers(zone),
      [this](std::span<const std::uint8_t> bytes, const Endpoint& from) {
        this->onReset(bytes, from);
      }));
  }
  for (std::size_t i = 0; i < count; ++i) {
    this->callers.push_back({ i % this->sockets.size(), {}, {}, bootTime() });
  }
  this->world.timers.every(internal::kTick, [this] { this->tick(); });
  return {};
}

std::string
Callers::zoneName(std::size_t zone) const
{
  return zone == 0 ? "zone-a" : "zone-b";
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
           now - entry.second.usedAt > internal::kFlowMemory;
  });
}

void
Callers::tickCaller(std::size_t index, MilliTime now)
{
  Caller& caller = this->callers[index];
  if (caller.request) {
    if (now - caller.request->askedAt > internal::kDeadline) {
      this->endRequest(index, RequestEnd::deadline);
    }
    return;
  }
  if (now < caller.nextAt || this->isFinishing) {
    return;
  }
  caller.request = CallerRequest{ now, 0, {} };
  CallerFlow* flow = caller.flow ? &this->flows.at(*caller.flow) : nullptr;
  if (flow != nullptr && now - flow->openAt > internal::kFlowLife) {
    this->close(*flow);
    flow = nullptr;
  }
  if (flow == nullptr) {
    this->openFlow(index, now);
  } else {
    this->ask(*flow, now);
  }
}

void
Callers::tickFlow(CallerFlow& flow, MilliTime now)
{
  if (flow.state == CallerFlow::State::opening) {
    const MilliDuration passed = now - flow.openingsAt[0];
    if (passed >= internal::kOpeningEnds) {
      this->abandon(flow, false);
    } else if (flow.openings < CallerFlow::kOpenings &&
               passed >= internal::kOpeningsAfter[flow.openings]) {
      this->sendOpening(flow, now);
    }
  } else if (flow.state == CallerFlow::State::open &&
             !flow.requestText.empty() && now >= flow.repeatAt) {
    this->sendData(flow, flow.requestText, false);
    flow.repeatAfter =
      std::min(internal::kLastRepeat, flow.repeatAfter + flow.repeatAfter);
    flow.repeatAt = now + flow.repeatAfter;
  }
}

void
Callers::openFlow(std::size_t index, MilliTime now)
{
  Caller& caller = this->callers[index];
  CallerFlow flow;
  flow.caller = index;
  flow.route = this->random.next() % Routes::kRoutes;
  for (std::size_t i = 0;
       i < Routes::kRoutes && !this->world.routes.serviceOf(flow.route);
       ++i) {
    flow.route = (flow.route + 1) % Routes::kRoutes;
  }
  this->nextPort = this->nextPort == 0xffff ? 1024 : this->nextPort + 1;
  flow.key.source = this->world.addresses.callers(caller.zone);
  flow.key.source.port = this->nextPort;
  flow.key.destination = this->world.addresses.destination(flow.route);
  flow.sequence = static_cast<std::uint32_t>(this->random.next());
  flow.usedAt = now;
  caller.flow = flow.key;
  ++caller.request->tries;
  this->world.promises.count("flows");
  CallerFlow& placed = this->flows[flow.key] = flow;
  this->sendOpening(placed, now);
}

void
Callers::sendOpening(CallerFlow& flow, MilliTime now)
{
  CallerPacket packet;
  packet.flow = flow.key;
  packet.opens = true;
  packet.openingCopy = static_cast<std::uint32_t>(flow.openings);
  packet.sequence = flow.sequence;
  flow.openingsAt[flow.openings++] = now;
  this->world.fabric.send(this->zoneName(this->callers[flow.caller].zone),
                          packet);
}

void
Callers::ask(CallerFlow& flow, MilliTime now)
{
  CallerRequest& request = *this->callers[flow.caller].request;
  request.id = "q" + std::to_string(this->nextRequest++);
  flow.requestText = "GET / HTTP/1.1\r\nRequest-Id: " + request.id + "\r\n\r\n";
  flow.usedAt = now;
  flow.repeatAfter = internal::kFirstRepeat;
  flow.repeatAt = now + flow.repeatAfter;
  this->sendData(flow, flow.requestText, false);
}

void
Callers::sendData(const CallerFlow& flow, std::string_view text, bool finishes)
{
  CallerPacket packet;
  packet.flow = flow.key;
  packet.tag = flow.tag;
  packet.finishes = finishes;
  packet.sequence = flow.sequence + 1;
  packet.acknowledged = flow.acknowledged;
  packet.payload =
    std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  this->world.fabric.send(this->zoneName(this->callers[flow.caller].zone),
                          packet);
}

void
Callers::close(CallerFlow& flow)
{
  if (flow.state == CallerFlow::State::open) {
    this->sendData(flow, {}, true);
  }
  flow.state = CallerFlow::State::closed;
  flow.usedAt = bootTime();
  Caller& caller = this->callers[flow.caller];
  if (caller.flow == flow.key) {
    caller.flow.reset();
  }
}

void
Callers::abandon(CallerFlow& flow, bool mayHaveRun)
{
  const std::size_t index = flow.caller;
  const bool isRepeatable = Routes::isIdempotent(flow.route) || !mayHaveRun;
  flow.requestText.clear();
  this->close(flow);
  Caller& caller = this->callers[index];
  if (!caller.request) {
    return;
  }
  if (!isRepeatable || caller.request->tries >= internal::kMostTries) {
    this->endRequest(index, RequestEnd::abandoned);
    return;
  }
  this->openFlow(index, bootTime());
}

void
Callers::endRequest(std::size_t index, RequestEnd end)
{
  Caller& caller = this->callers[index];
  const CallerRequest request = *caller.request;
  caller.request.reset();
  const MilliTime now = bootTime();
  caller.nextAt = now + MilliDuration{ static_cast<std::int64_t>(
                          this->random.next() % internal::kMostPauseMs) };
  this->world.promises.count(requestEndName(end));
  if (end == RequestEnd::answered) {
    return;
  }
  if (this->demandedFrom && request.askedAt >= *this->demandedFrom) {
    this->world.promises.broken(
      "all_answered",
      request.id + " " + requestEndName(end) + ", caller " +
        std::to_string(index) +
        (caller.flow ? " " + formatFlowKey(*caller.flow) : std::string()));
  }
  if (caller.flow) {
    this->close(this->flows.at(*caller.flow));
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
    const Target* target = this->world.targets.find(message.target);
    flow.targetIncarnation = target == nullptr ? 0 : target->incarnation;
    flow.tag = message.tag;
    flow.acknowledged = message.sequence;
    flow.openAt = bootTime();
    if (caller.request) {
      this->ask(flow, bootTime());
    }
    return;
  }
  if (flow.state != CallerFlow::State::open || flow.target != message.target) {
    return;
  }
  switch (message.kind) {
    case TargetMessage::Kind::answer:
      flow.acknowledged = message.sequence;
      flow.sequence += static_cast<std::uint32_t>(flow.requestText.size());
      flow.requestText.clear();
      flow.usedAt = bootTime();
      this->sendData(flow, {}, false);
      if (caller.request && caller.request->id == message.requestId) {
        this->endRequest(flow.caller, RequestEnd::answered);
      }
      break;
    case TargetMessage::Kind::finish:
      this->abandon(flow, !flow.requestText.empty());
      break;
    case TargetMessage::Kind::reset:
      this->abandon(flow, true);
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
    this->world.promises.broken("resets_only", "a caller got another datagram");
    return;
  }
  const auto found = this->flows.find(*key);
  if (found == this->flows.end() ||
      found->second.state == CallerFlow::State::closed) {
    return;
  }
  CallerFlow& flow = found->second;
  this->world.promises.count("resets");
  this->hooks.onReset(flow, from);
  this->abandon(
    flow, flow.state == CallerFlow::State::open && !flow.requestText.empty());
}

}
