#include "EntryServer.h"

#include "../Config/ParseConfiguration.h"
#include "../Core/PacketBuilder.h"
#include "HttpClient.h"

#include <chrono>

namespace buckthornwing {
namespace internal {

/// \brief Time between two status requests to one target.
constexpr MilliDuration kPollPeriod{ 1000 };
/// \brief Time between two readings of the platform's list of instances.
constexpr MilliDuration kListPeriod{ 10000 };
constexpr MilliDuration kListWithin{ 3000 };
/// \brief Peer counters start above every earlier run's of the same id.
constexpr unsigned kCounterShift = 20;

std::int64_t
unixMilliseconds()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}

EntryServer::EntryServer(boost::asio::io_context& context,
                         DaemonSettings settings)
  : context(context)
  , settings(std::move(settings))
  , data(context)
  , peer(context)
  , operators(context)
  , log(this->settings.logFile)
  , codec(deriveFleetKey(this->settings.fleetKey),
          static_cast<std::uint64_t>(internal::unixMilliseconds())
            << internal::kCounterShift)
  , poller(context,
           [this](const std::string& id, const LoadReport& report) {
             this->entry->onLoadReport(id, report, this->now());
             this->flushOutbox();
           })
  , tickTimer(context)
{
}

MilliTime
EntryServer::now() const
{
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return MilliTime{
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count()
  };
}

boost::leaf::result<void>
EntryServer::start()
{
  BOOST_LEAF_CHECK(
    this->data.open(this->settings.dataAddress, "bind data socket"));
  BOOST_LEAF_CHECK(
    this->peer.open(this->settings.engine.peerAddress, "bind peer socket"));
  BOOST_LEAF_CHECK(this->operators.open(this->settings.operatorsAddress,
                                        "bind operators' socket"));
  this->startEngine();
  this->data.start([this](auto packet) { this->onData(packet); });
  this->peer.start([this](auto datagram) { this->onPeer(datagram); });
  this->operators.start(
    [this](const std::string& target, const HttpServer::Respond& respond) {
      this->serve(target, respond);
    });
  this->watch->start();
  this->scheduleTick();
  return {};
}

void
EntryServer::startEngine()
{
  // The bound port stands in for a port of 0 in the settings.
  this->settings.engine.peerAddress = this->peer.localEndpoint();
  const std::int64_t unixMs = internal::unixMilliseconds();
  const std::uint64_t seed = mixWords(static_cast<std::uint64_t>(unixMs),
                                      hashText(this->settings.engine.id));
  this->entry =
    std::make_unique<Engine>(this->settings.engine,
                             static_cast<std::uint32_t>(unixMs / 1000),
                             seed,
                             this->now());
  WatchHooks hooks;
  hooks.wanted = [this] {
    return this->entry->shouldWatchPlatform(this->now());
  };
  hooks.revision = [this] { return this->entry->blackboard().view.revision; };
  hooks.onDocument = [this](const std::string& text) {
    this->entry->onConfiguration(text, this->now());
    this->flushOutbox();
  };
  hooks.onNothingNew = [this] { this->entry->onPlatformContact(this->now()); };
  this->watch = std::make_unique<ConfigurationWatch>(
    this->context, this->settings.configurationService, seed, std::move(hooks));
}

void
EntryServer::onData(std::span<const std::uint8_t> packet)
{
  const Decision decision = this->entry->onPacket(packet, this->now());
  this->carryOut(decision, packet);
  this->flushOutbox();
}

void
EntryServer::onPeer(std::span<const std::uint8_t> datagram)
{
  PeerMessage message;
  const PeerFault fault = this->codec.open(datagram, message);
  if (fault != PeerFault::none) {
    ++this->counters.peerFaults[static_cast<std::size_t>(fault)];
    return;
  }
  const auto decision = this->entry->onPeerMessage(message, this->now());
  if (decision) {
    this->carryOut(*decision, std::get<Relay>(message.body).packet);
  }
  this->flushOutbox();
}

void
EntryServer::carryOut(const Decision& decision,
                      std::span<const std::uint8_t> packet)
{
  switch (decision.outcome) {
    case Outcome::forward: {
      const Target& target = this->entry->blackboard().targets[decision.target];
      const Endpoint tunnel{ target.config.address, target.config.tunnelPort };
      this->counters.sendsLost += this->data.send(packet, tunnel) ? 0 : 1;
      break;
    }
    case Outcome::relay:
      this->relay(decision, packet);
      break;
    case Outcome::refuse: {
      const auto answer = buildRefusal(packet, parsePacket(packet));
      this->data.send(answer, this->settings.replyAddress);
      break;
    }
    case Outcome::drop:
      break;
  }
}

void
EntryServer::relay(const Decision& decision,
                   std::span<const std::uint8_t> packet)
{
  const Member& member = this->entry->blackboard().members[decision.peer];
  const auto datagram =
    this->codec.seal(this->entry->relayMessage(decision, packet));
  this->counters.relayBytesSent += datagram.size();
  this->counters.sendsLost += this->peer.send(datagram, member.address) ? 0 : 1;
}

void
EntryServer::flushOutbox()
{
  Outbox& outbox = this->entry->outbox();
  for (const OutgoingMessage& outgoing : outbox.messages) {
    const auto datagram = this->codec.seal(outgoing.message);
    this->counters.controlBytesSent += datagram.size();
    ++this->counters.controlMessagesSent;
    this->peer.send(datagram, outgoing.address);
  }
  for (const Event& event : outbox.events) {
    const bool perFlow =
      event.kind == EventKind::placement || event.kind == EventKind::drop;
    if (perFlow && !this->settings.logPlacements) {
      continue;
    }
    this->log.write(formatEvent(
      this->entry->blackboard(), event, internal::unixMilliseconds()));
  }
  outbox.clear();
}

void
EntryServer::scheduleTick()
{
  this->tickTimer.expires_after(std::chrono::milliseconds(kTickPeriod.ms));
  this->tickTimer.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      this->tick();
    }
  });
}

void
EntryServer::tick()
{
  const auto start = std::chrono::steady_clock::now();
  const MilliTime time = this->now();
  this->entry->tick(time);
  this->flushOutbox();
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - start;
  this->tickTimes.add(took.count());
  if (time >= this->nextPollAt) {
    this->nextPollAt = time + internal::kPollPeriod;
    this->pollTargets();
  }
  if (time >= this->nextListAt && this->entry->shouldWatchPlatform(time)) {
    this->nextListAt = time + internal::kListPeriod;
    this->readInstanceList();
  }
  if (this->stopping && this->entry->readyToStop(time)) {
    this->finishStop();
    return;
  }
  this->scheduleTick();
}

void
EntryServer::pollTargets()
{
  const Blackboard& board = this->entry->blackboard();
  for (const TargetIndex index : board.publishedTargets) {
    const TargetConfig& config = board.targets[index].config;
    if (!config.statusUrl.empty()) {
      this->poller.poll(config.id, config.statusUrl);
    }
  }
}

void
EntryServer::readInstanceList()
{
  httpGet(this->context,
          this->settings.configurationService,
          "/v1/instances",
          internal::kListWithin,
          kMostDocumentBytes,
          [this](const HttpResult& result) {
            constexpr unsigned kOk = 200;
            if (result.status == kOk) {
              this->entry->onInstanceList(parseInstanceList(result.body));
            }
          });
}

void
EntryServer::requestStop()
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->entry->requestStop(this->now());
  this->flushOutbox();
}

void
EntryServer::finishStop()
{
  this->entry->announceStopped(this->now());
  this->flushOutbox();
  this->watch->stop();
  this->data.close();
  this->peer.close();
  this->operators.close();
  this->context.stop();
}

void
EntryServer::updateHostCounters()
{
  this->counters.logLinesLost = this->log.lost();
  this->counters.configurationCalls = this->watch->calls();
  this->counters.configurationFailures = this->watch->failures();
  this->counters.tickMeanMicroseconds = this->tickTimes.mean();
  this->counters.tickMostMicroseconds = this->tickTimes.most();
}

void
EntryServer::serve(const std::string& target,
                   const HttpServer::Respond& respond)
{
  this->updateHostCounters();
  constexpr unsigned kUnavailable = 503;
  constexpr unsigned kNotFound = 404;
  if (target == "/healthz") {
    const bool ready =
      !this->stopping && this->entry->blackboard().view.revision > 0;
    const std::string state(lifecycleStateName(this->entry->lifecycleState()));
    respond({ ready ? 200 : kUnavailable, "text/plain", state + "\n", {} });
  } else if (target == "/status") {
    respond({ 200,
              "application/json",
              formatStatus(*this->entry, this->counters, this->now()),
              {} });
  } else if (target == "/metrics") {
    respond({ 200,
              "text/plain; version=0.0.4",
              formatMetrics(*this->entry, this->counters, this->now()),
              {} });
  } else {
    respond({ kNotFound, "text/plain", "not found\n", {} });
  }
}

}
