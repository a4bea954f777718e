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

/// \brief An entry daemon without its command line and signal handling.
///
/// Owns the sockets, the log and one Engine; passes packets, peer messages and
/// timer ticks to the engine and executes its decisions.
class EntryServer
{
public:
  EntryServer(boost::asio::io_context& context, DaemonSettings settings);

  /// \brief Binds all sockets and starts serving.
  /// \returns an Error if a socket can't be bound.
  boost::leaf::result<void> start();

  /// \brief Starts a planned stop: flows are handed over to other instances,
  /// then all sockets are closed and the io_context is stopped.
  void requestStop();

  const Engine& engine() const { return *this->enginePtr; }
  Endpoint dataEndpoint() const { return this->dataSocket.localEndpoint(); }
  Endpoint peerEndpoint() const { return this->peerSocket.localEndpoint(); }
  Endpoint operatorsEndpoint() const
  {
    return this->operatorsServer.localEndpoint();
  }

private:
  boost::asio::io_context& context;
  DaemonSettings settings;
  UdpSocket dataSocket;
  UdpSocket peerSocket;
  HttpServer operatorsServer;
  JsonLog log;
  PeerCodec codec;
  std::unique_ptr<Engine> enginePtr;
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
  /// \brief Executes the engine's decision about a packet.
  void execute(const Decision& decision, std::span<const std::uint8_t> packet);
  void relay(const Decision& decision, std::span<const std::uint8_t> packet);
  /// \brief Sends the engine's queued messages and logs its queued events.
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
