#include "EntryServer.h"

#include "../Config/ParseConfiguration.h"
#include "../Core/PacketBuilder.h"
#include "HttpClient.h"

#include <chrono>

namespace buckthornwing {
namespace internal {

/// \brief Interval between status requests to a target.
constexpr MilliDuration kPollPeriod{ 1000 };
/// \brief Interval between requests for the platform's list of instances.
constexpr MilliDuration kInstanceListPeriod{ 10000 };
constexpr MilliDuration kInstanceListTimeout{ 3000 };
/// \brief The counter of peer messages starts at the Unix time in milliseconds,
/// shifted left by this number of bits, and is thus above the counters of all
/// earlier runs of the same instance id.
constexpr unsigned kFirstCounterShift = 20;

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
  , dataSocket(context)
  , peerSocket(context)
  , operatorsServer(context)
  , log(this->settings.logFile)
  , codec(deriveFleetKey(this->settings.fleetKey),
          static_cast<std::uint64_t>(internal::unixMilliseconds())
            << internal::kFirstCounterShift)
  , poller(context,
           [this](const std::string& id, const LoadReport& report) {
             this->enginePtr->onLoadReport(id, report, this->now());
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
    this->dataSocket.open(this->settings.dataAddress, "bind data socket"));
  BOOST_LEAF_CHECK(this->peerSocket.open(this->settings.engine.peerAddress,
                                         "bind peer socket"));
  BOOST_LEAF_CHECK(this->operatorsServer.open(this->settings.operatorsAddress,
                                              "bind operators' socket"));
  this->startEngine();
  this->dataSocket.start([this](auto packet) { this->onData(packet); });
  this->peerSocket.start([this](auto datagram) { this->onPeer(datagram); });
  this->operatorsServer.start(
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
  // Replaces port 0 of the settings by the port that the kernel assigned.
  this->settings.engine.peerAddress = this->peerSocket.localEndpoint();
  const std::int64_t unixMs = internal::unixMilliseconds();
  const std::uint64_t seed = mixWords(static_cast<std::uint64_t>(unixMs),
                                      hashText(this->settings.engine.id));
  this->enginePtr =
    std::make_unique<Engine>(this->settings.engine,
                             static_cast<std::uint32_t>(unixMs / 1000),
                             seed,
                             this->now());
  WatchHooks hooks;
  hooks.shouldWatch = [this] {
    return this->enginePtr->shouldWatchPlatform(this->now());
  };
  hooks.revision = [this] {
    return this->enginePtr->blackboard().view.revision;
  };
  hooks.onDocument = [this](const std::string& text) {
    this->enginePtr->onConfiguration(text, this->now());
    this->flushOutbox();
  };
  hooks.onNotModified = [this] {
    this->enginePtr->onPlatformContact(this->now());
  };
  this->watch = std::make_unique<ConfigurationWatch>(
    this->context, this->settings.configurationService, seed, std::move(hooks));
}

void
EntryServer::onData(std::span<const std::uint8_t> packet)
{
  const Decision decision = this->enginePtr->onPacket(packet, this->now());
  this->execute(decision, packet);
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
  const auto decision = this->enginePtr->onPeerMessage(message, this->now());
  if (decision) {
    this->execute(*decision, std::get<Relay>(message.body).packet);
  }
  this->flushOutbox();
}

void
EntryServer::execute(const Decision& decision,
                     std::span<const std::uint8_t> packet)
{
  switch (decision.outcome) {
    case Outcome::forward: {
      const Target& target =
        this->enginePtr->blackboard().targets[decision.target];
      const Endpoint tunnel{ target.config.address, target.config.tunnelPort };
      this->counters.sendsLost += this->dataSocket.send(packet, tunnel) ? 0 : 1;
      break;
    }
    case Outcome::relay:
      this->relay(decision, packet);
      break;
    case Outcome::refuse: {
      const auto answer = buildRefusal(packet, parsePacket(packet));
      this->dataSocket.send(answer, this->settings.replyAddress);
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
  const Member& member = this->enginePtr->blackboard().members[decision.peer];
  const auto datagram =
    this->codec.seal(this->enginePtr->relayMessage(decision, packet));
  this->counters.relayBytesSent += datagram.size();
  this->counters.sendsLost +=
    this->peerSocket.send(datagram, member.address) ? 0 : 1;
}

void
EntryServer::flushOutbox()
{
  Outbox& outbox = this->enginePtr->outbox();
  for (const OutgoingMessage& outgoing : outbox.messages) {
    const auto datagram = this->codec.seal(outgoing.message);
    this->counters.controlBytesSent += datagram.size();
    ++this->counters.controlMessagesSent;
    this->peerSocket.send(datagram, outgoing.address);
  }
  for (const Event& event : outbox.events) {
    const bool perFlow =
      event.kind == EventKind::placement || event.kind == EventKind::drop;
    if (perFlow && !this->settings.logPlacements) {
      continue;
    }
    this->log.write(formatEvent(
      this->enginePtr->blackboard(), event, internal::unixMilliseconds()));
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
  this->enginePtr->tick(time);
  this->flushOutbox();
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - start;
  this->tickTimes.add(took.count());
  if (time >= this->nextPollAt) {
    this->nextPollAt = time + internal::kPollPeriod;
    this->pollTargets();
  }
  if (time >= this->nextListAt && this->enginePtr->shouldWatchPlatform(time)) {
    this->nextListAt = time + internal::kInstanceListPeriod;
    this->readInstanceList();
  }
  if (this->stopping && this->enginePtr->readyToStop(time)) {
    this->finishStop();
    return;
  }
  this->scheduleTick();
}

void
EntryServer::pollTargets()
{
  const Blackboard& board = this->enginePtr->blackboard();
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
          internal::kInstanceListTimeout,
          kMaxDocumentBytes,
          [this](const HttpResult& result) {
            constexpr unsigned kOk = 200;
            if (result.status == kOk) {
              this->enginePtr->onInstanceList(parseInstanceList(result.body));
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
  this->enginePtr->requestStop(this->now());
  this->flushOutbox();
}

void
EntryServer::finishStop()
{
  this->enginePtr->announceStopped(this->now());
  this->flushOutbox();
  this->watch->stop();
  this->dataSocket.close();
  this->peerSocket.close();
  this->operatorsServer.close();
  this->context.stop();
}

void
EntryServer::updateHostCounters()
{
  this->counters.logLinesLost = this->log.lost();
  this->counters.configurationCalls = this->watch->calls();
  this->counters.configurationFailures = this->watch->failures();
  this->counters.tickMeanMicroseconds = this->tickTimes.mean();
  this->counters.tickMaxMicroseconds = this->tickTimes.max();
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
      !this->stopping && this->enginePtr->blackboard().view.revision > 0;
    const std::string state(
      lifecycleStateName(this->enginePtr->lifecycleState()));
    respond({ ready ? 200 : kUnavailable, "text/plain", state + "\n", {} });
  } else if (target == "/status") {
    respond({ 200,
              "application/json",
              formatStatus(*this->enginePtr, this->counters, this->now()),
              {} });
  } else if (target == "/metrics") {
    respond({ 200,
              "text/plain; version=0.0.4",
              formatMetrics(*this->enginePtr, this->counters, this->now()),
              {} });
  } else {
    respond({ kNotFound, "text/plain", "not found\n", {} });
  }
}

}
