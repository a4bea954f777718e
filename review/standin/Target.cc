#include "Target.hh"

#include <algorithm>

namespace review {

Target::Target(EventLoop& loop,
               Record& record,
               Store& store,
               TargetSettings newSettings,
               std::function<void(const Run&)> onRun,
               std::function<std::int64_t(const Address&)> openingSentAt)
  : loop(loop)
  , record(record)
  , store(store)
  , settings(std::move(newSettings))
  , onRun(std::move(onRun))
  , openingSentAt(std::move(openingSentAt))
  , random(static_cast<std::mt19937::result_type>(this->settings.number))
{
}

void
Target::start()
{
  this->socket = bindSocket(SOCK_DGRAM, this->settings.address);
  if (this->socket < 0) {
    throw std::runtime_error("can't bind target " + this->settings.id);
  }
  this->loop.watch(this->socket, [this] { this->receive(); });
  this->health = std::make_unique<HttpServer>(
    this->loop,
    this->settings.address,
    [this](const std::string&, const Respond& respond) {
      respond(200, "Target-Id: " + this->settings.id + "\r\n", "{}");
    });
  this->startedAt = this->loop.now();
  this->bornUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  this->beat();
}

std::string
Target::entry(bool withCounter) const
{
  const std::int64_t warmupLeft =
    std::max(std::int64_t{ 0 },
             this->settings.warmupMs - (this->loop.now() - this->startedAt));
  return R"({"service":")" + this->settings.service + R"(","address":")" +
         formatAddress(this->settings.address) + R"(","zone":")" +
         this->settings.zone + R"(","version":"1","slots":)" +
         std::to_string(kSlots) + R"(,"state":")" +
         (this->isDraining ? "draining" : "ready") + R"(","warmup_left_ms":)" +
         std::to_string(warmupLeft) + R"(,"born":)" +
         std::to_string(this->bornUnixMs) + R"(,"seq":)" +
         (withCounter ? std::to_string(this->heartbeats) : "0") + "}";
}

void
Target::beat()
{
  if (this->hasLeft) {
    return;
  }
  ++this->heartbeats;
  const std::string key = "servers/" + this->settings.id;
  // The entry changes when more than the counter changes, or when the store
  // came back from a copy that lacks it.
  const Store::Copy state = this->store.copy();
  const auto found = state.values.find(key);
  const std::string present = found == state.values.end() ? "" : found->second;
  const std::string now = this->entry(false);
  const bool isSame =
    !present.empty() && present.substr(0, present.rfind(R"("seq")")) ==
                          now.substr(0, now.rfind(R"("seq")"));
  const bool accepted = isSame
                          ? !this->store.isAway()
                          : this->store.put(key, this->entry(true)).has_value();
  if (accepted && this->isDraining && this->drainAccepted < 0) {
    this->drainAccepted = this->loop.now();
    this->record.line("target " + this->settings.id +
                      ": the store acknowledged draining");
  }
  // A write that failed is repeated soon.
  this->loop.after(accepted ? kHeartbeatMs : kRetryMs,
                   [this] { this->beat(); });
}

void
Target::drain()
{
  this->isDraining = true;
  this->record.line("target " + this->settings.id + ": reports draining");
  const auto accepted =
    this->store.put("servers/" + this->settings.id, this->entry(true));
  if (accepted) {
    this->drainAccepted = this->loop.now();
    this->record.line("target " + this->settings.id +
                      ": the store acknowledged draining");
  }
}

void
Target::leave()
{
  this->hasLeft = true;
  this->record.line("target " + this->settings.id + ": ends");
  this->store.remove("servers/" + this->settings.id);
  this->closeSocket();
  this->health.reset();
  this->flows.clear();
}

void
Target::closeSocket()
{
  if (this->socket >= 0) {
    this->loop.unwatch(this->socket);
    close(this->socket);
    this->socket = -1;
  }
}

void
Target::receive()
{
  char buffer[2048];
  while (this->socket >= 0) {
    const ssize_t size = recv(this->socket, buffer, sizeof buffer, 0);
    if (size < 8) {
      return;
    }
    const std::string bytes(buffer, static_cast<std::size_t>(size));
    const std::uint64_t number = readNumber(bytes, 0, 8);
    const auto packet = decodePacket(bytes.substr(8));
    if ((number == 0 || number == this->settings.number) && packet) {
      this->onPacket(*packet);
    }
  }
}

void
Target::send(const Flow& flow,
             std::uint8_t flags,
             std::uint32_t sequence,
             const std::string& data)
{
  Packet packet;
  packet.from = flow.route;
  packet.to = flow.caller;
  packet.echo = flow.echo;
  packet.flags = flags;
  packet.sequence = sequence;
  packet.acknowledged = flow.expected;
  packet.data = data;
  sendDatagram(this->socket,
               encodePacket(packet),
               { flow.caller.ip, this->settings.callerPort });
}

void
Target::sendReset(const Packet& packet)
{
  Flow flow;
  flow.caller = packet.from;
  flow.route = packet.to;
  this->send(flow, Packet::kRst, packet.acknowledged, {});
}

void
Target::onSyn(const Packet& packet)
{
  const FlowKey key{ packet.from, packet.to };
  Flow& flow = this->flows[key];
  if (flow.ownSequence == 0) {
    flow.caller = packet.from;
    flow.route = packet.to;
    flow.ownSequence = static_cast<std::uint32_t>(this->random()) | 1;
    flow.expected = packet.sequence + 1;
    flow.openingSentAt = this->openingSentAt(packet.from);
    flow.arrivedAt = this->loop.now();
  }
  flow.echo = packet.echo;
  this->send(flow, Packet::kSyn | Packet::kAck, flow.ownSequence, {});
}

void
Target::onPacket(const Packet& packet)
{
  if (!packet.isSumRight) {
    this->record.line("target " + this->settings.id +
                      ": a packet with a wrong sum");
  }
  if (packet.has(Packet::kSyn)) {
    this->onSyn(packet);
    return;
  }
  const FlowKey key{ packet.from, packet.to };
  const auto found = this->flows.find(key);
  if (found == this->flows.end()) {
    if (!packet.has(Packet::kRst)) {
      this->sendReset(packet);
    }
    return;
  }
  Flow& flow = found->second;
  if (packet.has(Packet::kRst)) {
    this->flows.erase(found);
    return;
  }
  flow.echo = packet.echo;
  flow.isOpen = flow.isOpen || packet.acknowledged == flow.ownSequence + 1;
  const std::uint32_t end = flow.ownSequence + 1 + flow.answered +
                            static_cast<std::uint32_t>(flow.answer.size());
  if (!flow.answer.empty() && packet.acknowledged == end) {
    // The flow is ready for the caller's next request.
    flow.answered += static_cast<std::uint32_t>(flow.answer.size());
    flow.answer.clear();
    flow.input.clear();
    flow.isWorking = false;
    flow.retransmissions = 0;
  }
  if (packet.has(Packet::kFin)) {
    flow.expected = packet.sequence + 1;
    flow.hasEnded = true;
    this->send(flow, Packet::kAck | Packet::kFin, packet.acknowledged, {});
    return;
  }
  if (!packet.data.empty() && packet.sequence == flow.expected) {
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    flow.input += packet.data;
    this->onData(flow, key);
  } else if (!packet.data.empty() && flow.answer.empty()) {
    this->send(flow, Packet::kAck, packet.acknowledged, {});
  }
}

void
Target::onData(Flow& flow, const FlowKey& key)
{
  const std::size_t head = flow.input.find("\r\n\r\n");
  if (head == std::string::npos || flow.isWorking) {
    return;
  }
  flow.isWorking = true;
  this->send(flow, Packet::kAck, flow.ownSequence + 1 + flow.answered, {});
  if (this->busy < kSlots) {
    this->startWork(key);
  } else if (this->queue.size() < kQueue) {
    this->queue.push_back(key);
  } else {
    flow.answer = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n";
    this->sendAnswer(key, 200);
  }
}

void
Target::startWork(const FlowKey& key)
{
  ++this->busy;
  const Flow& flow = this->flows.at(key);
  const std::string label = "Request-Id: ";
  const std::size_t at = flow.input.find(label) + label.size();
  const std::string id = flow.input.substr(at, flow.input.find('\r', at) - at);
  this->record.line("run " + id + " at " + this->settings.id + " of " +
                    this->settings.service);
  this->onRun({ id,
                this->settings.id,
                this->settings.service,
                flow.route.port,
                flow.openingSentAt,
                flow.arrivedAt });
  this->loop.after(kWorkMs, [this, key] { this->finishWork(key); });
}

void
Target::finishWork(const FlowKey& key)
{
  if (this->hasLeft) {
    return;
  }
  --this->busy;
  const auto found = this->flows.find(key);
  if (found != this->flows.end()) {
    const std::string& input = found->second.input;
    const std::size_t at = input.find("Request-Id: ") + 12;
    const std::string id = input.substr(at, input.find('\r', at) - at);
    found->second.answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                           "\r\nResponse-Signature: " + this->settings.id +
                           "\r\nContent-Length: 600\r\n\r\n" +
                           std::string(600, 'x');
    this->sendAnswer(key, 200);
  }
  while (!this->queue.empty() && this->busy < kSlots) {
    const FlowKey next = this->queue.front();
    this->queue.pop_front();
    if (this->flows.contains(next)) {
      this->startWork(next);
    }
  }
}

void
Target::sendAnswer(const FlowKey& key, std::int64_t delayMs)
{
  const auto found = this->flows.find(key);
  constexpr int kMaxRetransmissions = 8;
  if (this->hasLeft || found == this->flows.end() ||
      found->second.answer.empty() ||
      found->second.retransmissions > kMaxRetransmissions) {
    return;
  }
  Flow& flow = found->second;
  ++flow.retransmissions;
  this->send(
    flow, Packet::kAck, flow.ownSequence + 1 + flow.answered, flow.answer);
  static constexpr std::int64_t kMaxDelayMs = 1600;
  this->loop.after(delayMs, [this, key, delayMs] {
    this->sendAnswer(key, std::min(2 * delayMs, kMaxDelayMs));
  });
}

}
