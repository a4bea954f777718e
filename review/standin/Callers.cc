#include "Callers.hh"

#include <algorithm>

namespace review {
namespace {

constexpr std::int64_t kDeadlineMs = 4000;
constexpr std::int64_t kCheckPeriodMs = 500;
constexpr int kRetries = 2;

const char*
endName(AttemptEnd end)
{
  switch (end) {
    case AttemptEnd::answered:
      return "answered";
    case AttemptEnd::notOpened:
      return "not opened";
    case AttemptEnd::reset:
      return "reset";
    case AttemptEnd::lost:
      return "opened, no answer";
  }
  return "";
}

std::uint64_t
mix(std::uint64_t left, std::uint64_t right)
{
  std::uint64_t word = (left ^ right * 0x9e3779b97f4a7c15ULL) + 0x7f4a7c15;
  word ^= word >> 30;
  word *= 0xbf58476d1ce4e5b9ULL;
  return word ^ word >> 31;
}

}

Callers::Callers(EventLoop& loop, Record& record, std::uint16_t callerPort)
  : loop(loop)
  , record(record)
  , callerPort(callerPort)
{
}

void
Callers::addZone(const std::string& zone, std::uint32_t callerIp)
{
  const std::size_t index = this->zones.size();
  Zone added{ zone, callerIp, -1, 30000 };
  added.socket = bindSocket(SOCK_DGRAM, { callerIp, this->callerPort });
  if (added.socket < 0) {
    throw std::runtime_error("can't bind the callers of " + zone);
  }
  this->zones.push_back(added);
  this->loop.watch(added.socket, [this, index] { this->receive(index); });
}

void
Callers::addNode(const Node& node)
{
  this->nodes.push_back(node);
}

void
Callers::startChecks()
{
  this->loop.every(kCheckPeriodMs, [this] {
    for (Node& node : this->nodes) {
      this->check(node);
    }
  });
}

void
Callers::check(Node& node)
{
  // Loopback connections are made or refused at once; the answer is awaited for
  // a short time only.
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval timeout{ 0, 100000 };
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const sockaddr_in name = toSockaddr(node.ready);
  const std::string request = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
  char buffer[64]{};
  const bool isReady =
    connect(
      descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0 &&
    ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
    recv(descriptor, buffer, sizeof buffer - 1, 0) > 0 &&
    std::string(buffer).find(" 200") != std::string::npos;
  close(descriptor);
  const bool before = node.inRotation();
  node.misses = isReady ? 0 : std::min(node.misses + 1, 2);
  if (before != node.inRotation()) {
    this->record.line(
      "router: " + node.name +
      (node.inRotation() ? " in rotation" : " out of rotation"));
  }
}

bool
Callers::allReady() const
{
  return std::all_of(this->nodes.begin(),
                     this->nodes.end(),
                     [](const Node& node) { return node.inRotation(); });
}

const Node*
Callers::choose(const Flow& flow) const
{
  const auto best = [&](bool anyZone, bool anyState) {
    const Node* chosen = nullptr;
    std::uint64_t highest = 0;
    for (const Node& node : this->nodes) {
      const bool fits = (anyZone || node.zone == this->zones[flow.zone].name) &&
                        (anyState || node.inRotation());
      const std::uint64_t score =
        mix(mix(flow.caller.ip, flow.caller.port),
            mix(flow.kind.route.port, node.packets.ip));
      if (fits && (chosen == nullptr || score > highest)) {
        chosen = &node;
        highest = score;
      }
    }
    return chosen;
  };
  std::size_t count = 0;
  std::size_t rotating = 0;
  for (const Node& node : this->nodes) {
    if (node.zone == this->zones[flow.zone].name) {
      ++count;
      rotating += node.inRotation() ? 1 : 0;
    }
  }
  if (rotating == 0) {
    const Node* other = best(true, false);
    return other != nullptr ? other : best(false, true);
  }
  return best(false, 2 * rotating < count);
}

void
Callers::send(const Flow& flow,
              std::uint8_t flags,
              std::uint32_t sequence,
              std::uint32_t acknowledged,
              const std::string& data)
{
  const Node* node = this->choose(flow);
  if (node == nullptr) {
    return;
  }
  Packet packet;
  packet.from = flow.caller;
  packet.to = flow.kind.route;
  packet.echo = flow.echo;
  packet.flags = flags;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.data = data;
  sendDatagram(
    this->zones[flow.zone].socket, encodePacket(packet), node->packets);
}

void
Callers::startRequests(const RequestKind& kind)
{
  for (std::size_t zone = 0; zone < this->zones.size(); ++zone) {
    for (int i = 0; i < kind.longFlows; ++i) {
      this->keepLongFlow(zone, kind);
    }
    if (kind.longFlows == 0) {
      this->request(zone, kind);
    }
  }
}

void
Callers::keepLongFlow(std::size_t zone, const RequestKind& kind)
{
  const std::int64_t delay =
    std::max(std::int64_t{ 0 }, kind.firstAt - this->loop.now()) +
    static_cast<std::int64_t>(this->random() % 500U);
  this->loop.after(delay, [this, zone, kind] {
    if (this->loop.now() < kind.lastAt) {
      this->open(zone,
                 kind,
                 kind.name + "-" + std::to_string(++this->requestCount),
                 this->loop.now() + kDeadlineMs,
                 kRetries);
    }
  });
}

void
Callers::request(std::size_t zone, const RequestKind& kind)
{
  const std::int64_t now = this->loop.now();
  if (now < kind.firstAt) {
    this->loop.after(kind.firstAt - now,
                     [this, zone, kind] { this->request(zone, kind); });
    return;
  }
  if (now > kind.lastAt) {
    return;
  }
  this->open(zone,
             kind,
             kind.name + "-" + std::to_string(++this->requestCount),
             now + kDeadlineMs,
             0);
  this->loop.after(kind.periodMs / 2 +
                     static_cast<std::int64_t>(
                       this->random() % static_cast<unsigned>(kind.periodMs)),
                   [this, zone, kind] { this->request(zone, kind); });
}

void
Callers::open(std::size_t zone,
              const RequestKind& kind,
              const std::string& id,
              std::int64_t deadline,
              int attempt)
{
  auto flow = std::make_shared<Flow>();
  flow->zone = zone;
  flow->kind = kind;
  flow->requestId = id + "." + std::to_string(attempt);
  flow->caller = { this->zones[zone].callerIp, this->zones[zone].nextPort };
  this->zones[zone].nextPort = static_cast<std::uint16_t>(
    this->zones[zone].nextPort == 60000 ? 30000
                                        : this->zones[zone].nextPort + 1);
  flow->startedAt = this->loop.now();
  flow->deadline = deadline;
  flow->attempt = attempt;
  flow->sequence = static_cast<std::uint32_t>(this->random()) & 0x7fffffff;
  this->flows[flow->caller] = flow;
  this->record.line("sent " + flow->requestId + " to route " +
                    formatAddress(kind.route) + " from " +
                    formatAddress(flow->caller));
  this->sendSyn(flow, 0);
}

void
Callers::sendSyn(const std::shared_ptr<Flow>& flow, std::uint32_t copies)
{
  if (flow->isOpen || flow->isDone) {
    return;
  }
  constexpr std::int64_t kWaits[] = { 200, 400, 800 };
  constexpr std::uint32_t kMaxCopies = 2;
  if (copies > kMaxCopies) {
    this->finish(flow, AttemptEnd::notOpened);
    return;
  }
  flow->openingSentAt = this->loop.now();
  this->openings[flow->caller] = flow->openingSentAt;
  this->send(*flow, Packet::kSyn, flow->sequence, copies, {});
  this->loop.after(kWaits[copies],
                   [this, flow, copies] { this->sendSyn(flow, copies + 1); });
}

std::string
Callers::requestText(const Flow& flow) const
{
  return (flow.kind.isIdempotent ? "GET /" : "POST /") + flow.kind.name +
         " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + flow.requestId +
         (flow.answers == 0 ? "" : "." + std::to_string(flow.answers)) +
         "\r\nContent-Length: 0\r\n\r\n";
}

void
Callers::sendRequest(const std::shared_ptr<Flow>& flow, std::int64_t delayMs)
{
  if (flow->isDone || !flow->isOpen) {
    return;
  }
  if (this->loop.now() >= flow->deadline) {
    this->finish(flow, AttemptEnd::lost);
    return;
  }
  this->send(*flow,
             Packet::kAck,
             flow->nextByte,
             flow->expected,
             this->requestText(*flow));
  static constexpr std::int64_t kMaxDelayMs = 1600;
  this->loop.after(delayMs, [this, flow, delayMs, sent = flow->answers] {
    if (flow->answers == sent) {
      this->sendRequest(flow, std::min(2 * delayMs, kMaxDelayMs));
    }
  });
}

void
Callers::receive(std::size_t zone)
{
  char buffer[2048];
  while (true) {
    const ssize_t size =
      recv(this->zones[zone].socket, buffer, sizeof buffer, 0);
    if (size < 0) {
      return;
    }
    const auto packet =
      decodePacket(std::string(buffer, static_cast<std::size_t>(size)));
    if (packet) {
      this->onPacket(*packet);
    }
  }
}

void
Callers::onPacket(const Packet& packet)
{
  const auto found = this->flows.find(packet.to);
  if (found == this->flows.end() || found->second->isDone ||
      found->second->kind.route != packet.from) {
    return;
  }
  const std::shared_ptr<Flow> flow = found->second;
  if (packet.has(Packet::kRst)) {
    flow->isResetBySystem = !packet.isSumRight;
    this->finish(flow, AttemptEnd::reset);
    return;
  }
  flow->echo = packet.echo;
  if (packet.has(Packet::kSyn)) {
    if (!flow->isOpen) {
      flow->isOpen = true;
      flow->expected = packet.sequence + 1;
      flow->nextByte = flow->sequence + 1;
      this->sendRequest(flow, 200);
    }
    return;
  }
  if (packet.data.empty() || packet.sequence != flow->expected) {
    return;
  }
  flow->expected += static_cast<std::uint32_t>(packet.data.size());
  flow->answer += packet.data;
  this->onAnswer(flow);
}

void
Callers::onAnswer(const std::shared_ptr<Flow>& flow)
{
  flow->nextByte += static_cast<std::uint32_t>(this->requestText(*flow).size());
  const std::string label = "Response-Signature: ";
  const std::size_t at = flow->answer.find(label);
  if (at != std::string::npos) {
    flow->targetId = flow->answer.substr(
      at + label.size(), flow->answer.find('\r', at) - at - label.size());
  }
  const bool isLast =
    flow->kind.longFlows == 0 || this->loop.now() > flow->kind.lastAt;
  this->send(*flow,
             isLast ? Packet::kAck | Packet::kFin : Packet::kAck,
             flow->nextByte,
             flow->expected,
             {});
  if (isLast) {
    this->finish(flow, AttemptEnd::answered);
    return;
  }
  ++flow->answers;
  flow->answer.clear();
  this->loop.after(flow->kind.periodMs, [this, flow] { this->sendNext(flow); });
}

void
Callers::sendNext(const std::shared_ptr<Flow>& flow)
{
  if (!flow->isDone) {
    flow->deadline = this->loop.now() + kDeadlineMs;
    this->sendRequest(flow, 200);
  }
}

void
Callers::finish(const std::shared_ptr<Flow>& flow, AttemptEnd end)
{
  flow->isDone = true;
  const bool isSuccess =
    end == AttemptEnd::answered && flow->answer.starts_with("HTTP/1.1 200") &&
    flow->answer.find("Request-Id: " + flow->requestId) != std::string::npos;
  this->record.line(
    std::string("end ") + flow->requestId + " " +
    (end == AttemptEnd::answered && !isSuccess ? "refused" : endName(end)));
  if (this->onAttempt) {
    this->onAttempt({ flow->requestId,
                      flow->kind.name,
                      flow->kind.route.port,
                      flow->startedAt,
                      end,
                      flow->targetId,
                      flow->isResetBySystem,
                      this->loop.now() });
  }
  if (flow->kind.longFlows > 0) {
    this->keepLongFlow(flow->zone, flow->kind);
    return;
  }
  const bool mayRepeat =
    !isSuccess &&
    (flow->kind.isIdempotent || !flow->isOpen || end == AttemptEnd::answered);
  if (mayRepeat && flow->attempt < kRetries &&
      this->loop.now() + 100 < flow->deadline) {
    const std::string id =
      flow->requestId.substr(0, flow->requestId.rfind('.'));
    this->loop.after(50, [this, flow, id] {
      this->open(flow->zone, flow->kind, id, flow->deadline, flow->attempt + 1);
    });
  }
}

std::int64_t
Callers::openingSentAt(const Address& caller) const
{
  const auto found = this->openings.find(caller);
  return found == this->openings.end() ? -1 : found->second;
}

}
