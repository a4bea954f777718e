#ifndef BUCKTHORNWING_TAG_SERVER_H
#define BUCKTHORNWING_TAG_SERVER_H

#include "../Fleet/FleetCodec.h"
#include "../Steering/TagEngine.h"
#include "HeldPackets.h"
#include "HttpServer.h"
#include "JsonLog.h"
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

/// \brief Translates between datagrams of a tagging fabric and CallerPacket.
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
    Codec::kMostDatagramBytes
    } -> std::convertible_to<std::size_t>;
};

/// \brief Reads targets and routes from the platform into an engine.
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

/// \brief Drives one TagEngine over sockets; the whole of a daemon before a
/// tagging fabric but for its command line and signals.
template<TagCodec Codec, ViewSource Source>
class TagServer
{
public:
  TagServer(boost::asio::io_context& context, TagServerSettings newSettings)
    : context(context)
    , settings(std::move(newSettings))
    , packets(context)
    , peers(context)
    , codec(deriveFleetKey(settings.fleetKey))
    , ready(context)
    , operators(context)
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
  boost::leaf::result<void> start()
  {
    BOOST_LEAF_CHECK(
      this->packets.open(this->settings.packetAddress, "bind packet socket"));
    BOOST_LEAF_CHECK(
      this->peers.open(this->settings.tag.peerAddress, "bind peer socket"));
    BOOST_LEAF_CHECK(
      this->ready.open(this->settings.readyAddress, "bind readiness socket"));
    BOOST_LEAF_CHECK(this->operators.open(this->settings.operatorsAddress,
                                          "bind operators' socket"));
    // The bound port stands in for a port of 0 in the settings.
    this->settings.packetAddress = this->packets.localEndpoint();
    this->log.note("start", "zone " + this->settings.tag.zone);
    this->packets.start([this](auto datagram) { this->onDatagram(datagram); });
    this->peers.start([this](auto datagram) { this->onPeer(datagram); });
    const auto handler = [this](const std::string& target,
                                const HttpServer::Respond& respond) {
      respond(this->serve(target));
    };
    this->ready.start(handler);
    this->operators.start(handler);
    this->source.start();
    // Peers are asked for their view at once.
    this->tick();
    return {};
  }

  /// \brief Starts a planned stop: not ready at once, but forwarding until the
  /// fabric has noticed and no more packets arrive.
  void requestStop()
  {
    if (this->stopAt.ms != 0) {
      return;
    }
    this->log.note("stop_requested", "not ready from now on");
    this->engine.requestStop();
    this->stopAt = bootTime() + this->settings.stopWithin;
  }

  /// \brief Takes new settings; those of sockets and identity keep until the
  /// next start.
  void reload(const TagServerSettings& newSettings)
  {
    this->log.setLevel(newSettings.logLevel);
    this->settings.stopWithin = newSettings.stopWithin;
    this->log.note("reload", "settings taken");
  }

  /// \brief Notes that new settings were not taken.
  void refuseReload(const std::string& problem)
  {
    this->log.note("reload_refused", problem);
  }

  Endpoint packetEndpoint() const { return this->packets.localEndpoint(); }
  Endpoint readyEndpoint() const { return this->ready.localEndpoint(); }
  Endpoint operatorsEndpoint() const { return this->operators.localEndpoint(); }
  bool hasStopped() const { return this->stopped; }

private:
  /// A planned stop ends this long before the limit.
  static constexpr MilliDuration kStopMargin{ 500 };
  /// The fabric notices within two checks of half a second each.
  static constexpr MilliDuration kLeastStop{ 1700 };
  /// No packet for so long means that the fabric uses other instances.
  static constexpr MilliDuration kQuiet{ 500 };

  boost::asio::io_context& context;
  TagServerSettings settings;
  UdpSocket packets;
  UdpSocket peers;
  FleetCodec codec;
  HttpServer ready;
  HttpServer operators;
  JsonLog jsonLog;
  TagLog log;
  TagEngine engine;
  TrafficMeter traffic;
  Source source;
  ProbeRunner<Source> probes;
  boost::asio::steady_timer tickTimer;
  HeldPackets held;
  ViewStamp heldAtStamp; ///< the view by which they were decided last
  TagHostCounters counters;
  MilliTime stopAt{};
  MilliTime lastPacketAt{};
  bool stopped = false;
  std::array<std::uint8_t, Codec::kMostDatagramBytes> out{};

  void onDatagram(std::span<const std::uint8_t> datagram)
  {
    const MilliTime now = bootTime();
    this->lastPacketAt = now;
    ++this->counters.packets;
    this->traffic.onReceived(TrafficKind::packets, datagram.size());
    CallerPacket packet;
    const PacketFault fault =
      datagram.size() + sizeof(std::uint64_t) > this->out.size()
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
    this->carryOut(decision, packet, datagram);
    this->logDecision(packet, decision, {}, now);
    this->probes.start();
    this->listIfWanted(now);
  }

  void listIfWanted(MilliTime now)
  {
    if (this->engine.wantsListing(now)) {
      this->source.refreshTargets();
    }
  }

  /// \brief Keeps a packet for later; drops it if there are too many.
  void hold(std::span<const std::uint8_t> datagram,
            SteeringDecision& decision,
            MilliTime now)
  {
    const bool isHeld =
      this->settings.tag.policy.holdsPackets && this->held.hold(datagram, now);
    if (!isHeld) {
      ++this->counters.notHeld;
      decision.outcome = SteeringOutcome::drop;
    }
  }

  /// \param heldFor how long the packet waited, if it did
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

  /// \brief Decides held packets again; those that must wait on do so
  /// unnoticed, the others leave one line.
  void decideHeld(MilliTime now)
  {
    for (HeldPacket& each : this->held.takeAll()) {
      CallerPacket packet;
      // It was parsed without a fault before it was held.
      Codec::parse(each.bytes, packet);
      SteeringDecision decision = this->engine.onHeldPacket(packet, now);
      const bool mustWait = decision.outcome == SteeringOutcome::hold;
      if (mustWait && !each.isOver(now)) {
        this->held.keep(std::move(each));
        continue;
      }
      if (mustWait) {
        decision.outcome = SteeringOutcome::drop;
      }
      this->carryOut(decision, packet, each.bytes);
      this->logDecision(packet, decision, now - each.since, now);
    }
  }

  void carryOut(const SteeringDecision& decision,
                const CallerPacket& packet,
                std::span<const std::uint8_t> datagram)
  {
    switch (decision.outcome) {
      case SteeringOutcome::forward: {
        const TargetRecord& target =
          this->engine.board().registry.at(decision.target).record;
        const auto bytes = Codec::writeForward(
          datagram, packet, target.number, decision.tag, this->out);
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
    this->counters.sendsLost += this->packets.send(bytes, to) ? 0 : 1;
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
      this->peers.send(datagram, outgoing.to);
    }
  }

  void resetRescued(MilliTime now)
  {
    for (const RescuedFlow& rescued : this->engine.takeRescued()) {
      CallerPacket packet;
      packet.flow = rescued.flow;
      packet.acknowledged = rescued.acknowledged;
      SteeringDecision decision;
      decision.outcome = SteeringOutcome::reset;
      decision.reason = rescued.targetLeft ? SteeringReason::targetGone
                                           : SteeringReason::targetSilent;
      decision.target = rescued.target;
      this->carryOut(decision, packet, {});
      this->logDecision(packet, decision, {}, now);
    }
  }

  /// \brief Called after each input from the platform or a peer.
  void afterInput()
  {
    const MilliTime now = bootTime();
    this->flushPeers();
    this->resetRescued(now);
    this->probes.start();
    for (const TagEvent& event : this->engine.takeEvents()) {
      this->log.change(this->engine.board(), event, now);
    }
    const ViewStamp stamp = stampOf(this->engine.board());
    if (stamp != this->heldAtStamp) {
      this->heldAtStamp = stamp;
      this->decideHeld(now);
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
    this->decideHeld(now);
    this->listIfWanted(now);
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

  bool mayStop(MilliTime now) const
  {
    if (this->stopAt.ms == 0) {
      return false;
    }
    const MilliDuration left = this->stopAt - now;
    const MilliDuration passed{ this->settings.stopWithin.ms - left.ms };
    const bool isQuiet = now - this->lastPacketAt > kQuiet;
    return left <= kStopMargin || (passed >= kLeastStop && isQuiet);
  }

  void finishStop()
  {
    this->log.note("stop", "no packets are under way");
    this->stopped = true;
    this->source.stop();
    this->probes.stop();
    this->packets.close();
    this->peers.close();
    this->ready.close();
    this->operators.close();
    this->context.stop();
  }

  HttpReply serve(const std::string& target)
  {
    constexpr unsigned kUnavailable = 503;
    constexpr unsigned kNotFound = 404;
    this->counters.storeCalls = this->source.calls();
    this->counters.storeFailures = this->source.failures();
    this->counters.storeListings = this->source.listingTimes();
    this->counters.bytesSent = this->traffic.sent();
    this->counters.bytesReceived = this->traffic.received();
    this->counters.logLinesLost = this->log.suppressed() + this->jsonLog.lost();
    const TagBoard& board = this->engine.board();
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
    return { kNotFound, "text/plain", "not found\n", {} };
  }
};

}

#endif
