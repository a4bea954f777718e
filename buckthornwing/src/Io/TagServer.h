#ifndef BUCKTHORNWING_TAG_SERVER_H
#define BUCKTHORNWING_TAG_SERVER_H

#include "../Fleet/FleetCodec.h"
#include "../Steering/TagEngine.h"
#include "HeldPackets.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "OpeningReport.h"
#include "ProbeRunner.h"
#include "TagLog.h"
#include "TagReport.h"
#include "TagServerSettings.h"
#include "TrafficMeter.h"
#include "UdpSocket.h"
#include "WallClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <functional>
#include <memory>

namespace buckthornwing {

/// \brief Conversion between the datagrams of a tagging fabric and
/// CallerPacket.
template<typename Codec>
concept TagCodec = requires(std::span<const std::uint8_t> datagram,
                            CallerPacket& packet,
                            std::span<std::uint8_t> out)
{
  {
    Codec::parse(datagram, packet)
    } -> std::same_as<PacketFault>;
  {
    Codec::writeForward(datagram, packet, std::uint64_t{}, FlowTag{}, out)
    } -> std::same_as<std::span<const std::uint8_t>>;
  { Codec::makeReset(packet) };
  {
    Codec::callerEndpoint(packet, std::uint16_t{})
    } -> std::same_as<Endpoint>;
  {
    Codec::requestId(datagram)
    } -> std::same_as<std::string_view>;
  {
    Codec::kMaxDatagramBytes
    } -> std::convertible_to<std::size_t>;
};

/// \brief Reads targets and routes from the platform into an engine, and sends
/// health probes to targets.
template<typename Source>
concept ViewSource = requires(Source source,
                              const TargetRecord& target,
                              const std::string& healthPath,
                              ProbeHooks hooks)
{
  source.start();
  source.stop();
  source.refreshTargets();
  source.probe(target, healthPath, hooks);
  {
    source.calls()
    } -> std::convertible_to<std::uint64_t>;
  {
    source.failures()
    } -> std::convertible_to<std::uint64_t>;
  {
    source.takeReceivedBytes()
    } -> std::convertible_to<std::size_t>;
  {
    source.listingTimes()
    } -> std::convertible_to<LatencyHistogram>;
};

/// \brief A daemon behind a tagging fabric, without its command line and signal
/// handling.
///
/// Owns the sockets, the log and one TagEngine; passes packets, peer messages
/// and timer ticks to the engine and executes its decisions.
template<TagCodec Codec, ViewSource Source>
class TagServer
{
public:
  TagServer(boost::asio::io_context& context, TagServerSettings newSettings)
    : context(context)
    , settings(std::move(newSettings))
    , packetSocket(context)
    , peerSocket(context)
    , codec(deriveFleetKey(settings.fleetKey))
    , readinessServer(context)
    , operatorsServer(context)
    , jsonLog({})
    , log(jsonLog, settings.tag.id, settings.logLevel)
    , engine(settings.tag)
    , traffic(settings.tag.linkMegabits)
    , source(context, settings, engine, [this] { this->afterInput(); })
    , probes(context, engine, source, [this] { this->afterInput(); })
    , tickTimer(context)
  {
  }

  /// \brief Binds all sockets and starts serving.
  /// \returns an Error if a socket can't be bound.
  boost::leaf::result<void> start()
  {
    BOOST_LEAF_CHECK(this->packetSocket.open(this->settings.packetAddress,
                                             "bind packet socket"));
    BOOST_LEAF_CHECK(this->peerSocket.open(this->settings.tag.peerAddress,
                                           "bind peer socket"));
    BOOST_LEAF_CHECK(this->readinessServer.open(this->settings.readyAddress,
                                                "bind readiness socket"));
    BOOST_LEAF_CHECK(this->operatorsServer.open(this->settings.operatorsAddress,
                                                "bind operators' socket"));
    // Replaces port 0 of the settings by the port that the kernel assigned.
    this->settings.packetAddress = this->packetSocket.localEndpoint();
    this->log.note("start", "zone " + this->settings.tag.zone);
    this->packetSocket.start(
      [this](auto datagram) { this->onDatagram(datagram); });
    this->peerSocket.start([this](auto datagram) { this->onPeer(datagram); });
    const auto handler = [this](const std::string& target,
                                const HttpServer::Respond& respond) {
      respond(this->serve(target));
    };
    this->readinessServer.start(handler);
    this->operatorsServer.start(handler);
    this->source.start();
    // The first tick requests the peers' views without waiting for the timer.
    this->tick();
    return {};
  }

  /// \brief Starts a planned stop. Readiness checks fail from now on; packets
  /// are still forwarded until the fabric sends none any more or the time limit
  /// of the stop is reached.
  void requestStop()
  {
    if (this->stopAt.ms != 0) {
      return;
    }
    this->log.note("stop_requested", "readiness checks fail from now on");
    this->engine.requestStop();
    this->stopAt = bootTime() + this->settings.stopTimeout;
  }

  /// \brief Applies the log level and the time limit of a planned stop from new
  /// settings. All other settings take effect at the next start of the process.
  void reload(const TagServerSettings& newSettings)
  {
    this->log.setLevel(newSettings.logLevel);
    this->settings.stopTimeout = newSettings.stopTimeout;
    this->counters.refusedSettings.reset();
    this->log.note("reload", "new settings applied");
  }

  /// \brief Reports that new settings were rejected.
  void rejectReload(const std::string& problem)
  {
    this->counters.refusedSettings = problem;
    this->log.note("reload_refused", problem);
  }

  Endpoint packetEndpoint() const { return this->packetSocket.localEndpoint(); }
  Endpoint readyEndpoint() const
  {
    return this->readinessServer.localEndpoint();
  }
  Endpoint operatorsEndpoint() const
  {
    return this->operatorsServer.localEndpoint();
  }
  bool hasStopped() const { return this->stopped; }

private:
  /// \brief A planned stop ends this long before its time limit.
  static constexpr MilliDuration kStopMargin{ 500 };
  /// \brief Minimum duration of a planned stop. The fabric notices the failing
  /// readiness check within two checks, which are half a second apart.
  static constexpr MilliDuration kMinStopTime{ 1700 };
  /// \brief After this time without a packet, the fabric is taken to use other
  /// instances.
  static constexpr MilliDuration kQuietPeriod{ 500 };

  boost::asio::io_context& context;
  TagServerSettings settings;
  UdpSocket packetSocket;
  UdpSocket peerSocket;
  FleetCodec codec;
  HttpServer readinessServer;
  HttpServer operatorsServer;
  JsonLog jsonLog;
  TagLog log;
  TagEngine engine;
  TrafficMeter traffic;
  Source source;
  ProbeRunner<Source> probes;
  boost::asio::steady_timer tickTimer;
  HeldPackets heldPackets;
  ViewVersion heldViewVersion; ///< of the view used for their last decision
  TagHostCounters counters;
  MilliTime stopAt{};
  MilliTime lastPacketAt{};
  bool stopped = false;
  std::array<std::uint8_t, Codec::kMaxDatagramBytes> sendBuffer{};

  void onDatagram(std::span<const std::uint8_t> datagram)
  {
    const MilliTime now = bootTime();
    this->lastPacketAt = now;
    ++this->counters.packets;
    this->traffic.onReceived(TrafficKind::packets, datagram.size());
    CallerPacket packet;
    const PacketFault fault =
      datagram.size() + sizeof(std::uint64_t) > this->sendBuffer.size()
        ? PacketFault::lengthMismatch
        : Codec::parse(datagram, packet);
    if (fault != PacketFault::none) {
      ++this->counters.faults[static_cast<std::size_t>(fault)];
      return;
    }
    SteeringDecision decision = this->engine.onPacket(packet, now);
    if (decision.outcome == SteeringOutcome::hold) {
      this->hold(datagram, decision, now);
    }
    this->execute(decision, packet, datagram);
    this->logDecision(packet, decision, {}, now);
    this->probes.start();
    this->refreshTargetsIfNeeded(now);
  }

  /// \brief Reads the targets again if the engine requests it.
  void refreshTargetsIfNeeded(MilliTime now)
  {
    if (this->engine.needsTargetListing(now)) {
      this->source.refreshTargets();
    }
  }

  /// \brief Holds a packet until a newer view arrives. If that is disabled or
  /// too many packets are held, changes the decision to drop the packet.
  void hold(std::span<const std::uint8_t> datagram,
            SteeringDecision& decision,
            MilliTime now)
  {
    const bool isHeld = this->settings.tag.policy.holdsPackets &&
                        this->heldPackets.hold(datagram, now);
    if (!isHeld) {
      ++this->counters.packetsNotHeld;
      decision.outcome = SteeringOutcome::drop;
    }
  }

  /// \param heldFor time for which the packet was held; empty if it wasn't
  void logDecision(const CallerPacket& packet,
                   const SteeringDecision& decision,
                   std::optional<MilliDuration> heldFor,
                   MilliTime now)
  {
    const std::string_view requestId = packet.payload.empty()
                                         ? std::string_view{}
                                         : Codec::requestId(packet.payload);
    this->log.decision(
      this->engine.board(), packet, decision, requestId, heldFor, now);
  }

  /// \brief Decides held packets again. Only packets that need not be held any
  /// longer are logged, once each.
  void decideHeldPackets(MilliTime now)
  {
    for (HeldPacket& each : this->heldPackets.takeAll()) {
      CallerPacket packet;
      // The result needs no check: only packets that parse are held.
      Codec::parse(each.bytes, packet);
      SteeringDecision decision = this->engine.onHeldPacket(packet, now);
      const bool mustWait = decision.outcome == SteeringOutcome::hold;
      if (mustWait && !each.isExpired(now)) {
        this->heldPackets.putBack(std::move(each));
        continue;
      }
      if (mustWait) {
        decision.outcome = SteeringOutcome::drop;
      }
      this->execute(decision, packet, each.bytes);
      this->logDecision(packet, decision, now - each.heldSince, now);
    }
  }

  void execute(const SteeringDecision& decision,
               const CallerPacket& packet,
               std::span<const std::uint8_t> datagram)
  {
    switch (decision.outcome) {
      case SteeringOutcome::forward: {
        const TargetRecord& target =
          this->engine.board().registry.at(decision.target).record;
        const auto bytes = Codec::writeForward(
          datagram, packet, target.number, decision.tag, this->sendBuffer);
        this->send(bytes, target.address);
        break;
      }
      case SteeringOutcome::reset:
        this->send(
          Codec::makeReset(packet),
          Codec::callerEndpoint(packet, this->settings.packetAddress.port));
        break;
      case SteeringOutcome::hold:
      case SteeringOutcome::drop:
        break;
    }
  }

  void send(std::span<const std::uint8_t> bytes, const Endpoint& to)
  {
    this->counters.sendsLost += this->packetSocket.send(bytes, to) ? 0 : 1;
    this->traffic.onSent(TrafficKind::packets, bytes.size(), bootTime());
  }

  void onPeer(std::span<const std::uint8_t> datagram)
  {
    FleetMessage message;
    const PeerFault fault = this->codec.open(datagram, message);
    if (fault != PeerFault::none) {
      ++this->counters.peerFaults[static_cast<std::size_t>(fault)];
      return;
    }
    this->traffic.onReceived(trafficKindOf(message), datagram.size());
    this->engine.onFleetMessage(message, bootTime());
    this->afterInput();
  }

  void flushPeers()
  {
    const MilliTime now = bootTime();
    for (const OutgoingFleetMessage& outgoing : this->engine.takeOutgoing()) {
      const auto datagram = this->codec.seal(outgoing.message);
      this->traffic.onSent(
        trafficKindOf(outgoing.message), datagram.size(), now);
      this->peerSocket.send(datagram, outgoing.to);
    }
  }

  /// \brief Sends a reset to the caller of each flow whose target the engine
  /// has found dead or gone, so that the caller opens a new flow.
  void resetFlows(MilliTime now)
  {
    for (const FlowToReset& toReset : this->engine.takeFlowsToReset()) {
      CallerPacket packet;
      packet.flow = toReset.flow;
      packet.acknowledged = toReset.acknowledged;
      SteeringDecision decision;
      decision.outcome = SteeringOutcome::reset;
      decision.reason = toReset.targetLeft ? SteeringReason::targetGone
                                           : SteeringReason::targetSilent;
      decision.target = toReset.target;
      this->execute(decision, packet, {});
      this->logDecision(packet, decision, {}, now);
    }
  }

  /// \brief Executes what the engine has queued; called after each input from
  /// the platform or a peer. Decides held packets again if the view changed.
  void afterInput()
  {
    const MilliTime now = bootTime();
    this->flushPeers();
    this->resetFlows(now);
    this->probes.start();
    for (const TagEvent& event : this->engine.takeEvents()) {
      this->log.change(this->engine.board(), event, now);
    }
    const ViewVersion version = viewVersionOf(this->engine.board());
    if (version != this->heldViewVersion) {
      this->heldViewVersion = version;
      this->decideHeldPackets(now);
    }
  }

  void scheduleTick()
  {
    this->tickTimer.expires_after(std::chrono::milliseconds(kTagTickPeriod.ms));
    this->tickTimer.async_wait([this](const boost::system::error_code& code) {
      if (!code) {
        this->tick();
      }
    });
  }

  void tick()
  {
    const MilliTime now = bootTime();
    this->engine.tick(now);
    this->afterInput();
    this->decideHeldPackets(now);
    this->refreshTargetsIfNeeded(now);
    this->reportTraffic(now);
    this->log.reportSuppressed();
    if (this->mayStop(now)) {
      this->finishStop();
      return;
    }
    this->scheduleTick();
  }

  void reportTraffic(MilliTime now)
  {
    this->traffic.onTick(now);
    this->traffic.onReceived(TrafficKind::storeAnswers,
                             this->source.takeReceivedBytes());
    if (const auto report = this->traffic.takeReport(now)) {
      this->log.traffic(*report);
    }
  }

  /// \returns whether a planned stop is under way and can end now.
  bool mayStop(MilliTime now) const
  {
    if (this->stopAt.ms == 0) {
      return false;
    }
    const MilliDuration remaining = this->stopAt - now;
    const MilliDuration elapsed{ this->settings.stopTimeout.ms - remaining.ms };
    const bool isQuiet = now - this->lastPacketAt > kQuietPeriod;
    return remaining <= kStopMargin || (elapsed >= kMinStopTime && isQuiet);
  }

  void finishStop()
  {
    this->log.note("stop", "planned stop complete");
    this->stopped = true;
    this->source.stop();
    this->probes.stop();
    this->packetSocket.close();
    this->peerSocket.close();
    this->readinessServer.close();
    this->operatorsServer.close();
    this->context.stop();
  }

  HttpResponse serve(const std::string& target)
  {
    constexpr unsigned kUnavailable = 503;
    constexpr unsigned kNotFound = 404;
    this->counters.storeCalls = this->source.calls();
    this->counters.storeFailures = this->source.failures();
    this->counters.storeListings = this->source.listingTimes();
    this->counters.bytesSent = this->traffic.sent();
    this->counters.bytesReceived = this->traffic.received();
    this->counters.logLinesLost = this->log.suppressed() + this->jsonLog.lost();
    const TagBlackboard& board = this->engine.board();
    if (target == Source::kReadyPath || target == "/healthz") {
      const bool isReady = this->engine.ready();
      return { isReady ? 200 : kUnavailable,
               "text/plain",
               isReady ? "ready\n" : "not ready\n",
               {} };
    }
    if (target == "/metrics") {
      return { 200,
               "text/plain; version=0.0.4",
               formatTagMetrics(board, this->counters, bootTime()),
               {} };
    }
    if (target == "/status") {
      return { 200,
               "application/json",
               formatTagStatus(board, this->counters, bootTime()),
               {} };
    }
    if (target.substr(0, target.find('?')) == "/explain") {
      return explainOpening(this->engine, target, bootTime());
    }
    return { kNotFound, "text/plain", "not found\n", {} };
  }
};

}

#endif
