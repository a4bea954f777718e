#ifndef BUCKTHORNWING_ENTRY_SERVER_H
#define BUCKTHORNWING_ENTRY_SERVER_H

#include "../Peer/PeerCodec.h"
#include "ConfigurationWatch.h"
#include "DaemonSettings.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "MetricsText.h"
#include "StatusReport.h"
#include "TargetPoller.h"
#include "UdpSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace buckthornwing {

/// \brief Drives one engine over sockets; the whole of an entry daemon but
/// for its command line and signals.
class EntryServer
{
public:
  EntryServer(boost::asio::io_context& context, DaemonSettings settings);

  /// \brief Binds all sockets and starts serving.
  boost::leaf::result<void> start();

  /// \brief Starts a planned stop; the context runs out of work afterwards.
  void requestStop();

  const Engine& engine() const { return *this->entry; }
  Endpoint dataEndpoint() const { return this->data.localEndpoint(); }
  Endpoint peerEndpoint() const { return this->peer.localEndpoint(); }
  Endpoint operatorsEndpoint() const { return this->operators.localEndpoint(); }

private:
  boost::asio::io_context& context;
  DaemonSettings settings;
  UdpSocket data;
  UdpSocket peer;
  HttpServer operators;
  JsonLog log;
  PeerCodec codec;
  std::unique_ptr<Engine> entry;
  std::unique_ptr<ConfigurationWatch> watch;
  TargetPoller poller;
  boost::asio::steady_timer tickTimer;
  HostCounters counters;
  DurationStatistics tickTimes;
  MilliTime nextPollAt{};
  MilliTime nextListAt{};
  bool stopping = false;

  MilliTime now() const;
  void startEngine();
  void onData(std::span<const std::uint8_t> packet);
  void onPeer(std::span<const std::uint8_t> datagram);
  void carryOut(const Decision& decision, std::span<const std::uint8_t> packet);
  void relay(const Decision& decision, std::span<const std::uint8_t> packet);
  void flushOutbox();
  void scheduleTick();
  void tick();
  void pollTargets();
  void readInstanceList();
  void finishStop();
  void serve(const std::string& target, const HttpServer::Respond& respond);
  void updateHostCounters();
};

}

#endif
