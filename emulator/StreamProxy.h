#ifndef BUCKTHORNWING_EMULATOR_STREAM_PROXY_H
#define BUCKTHORNWING_EMULATOR_STREAM_PROXY_H

#include "TcpPort.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace buckthornwing::emulator {

/// \brief What a proxy does to its connections.
enum class StreamFault : std::uint8_t
{
  none,
  delayed,      ///< each piece of data waits
  reset,        ///< connections are reset, new ones too
  requestsLost, ///< nothing passes towards the server
  answersLost,  ///< nothing passes back
};

/// \brief A loopback proxy for connections, with faults.
class StreamProxy
{
public:
  StreamProxy(boost::asio::io_context& context, const Endpoint& server);

  boost::leaf::result<void> open(const Endpoint& address);

  Endpoint localEndpoint() const;

  /// \brief Silences or resets open connections too. One that lost bytes
  /// stays silent after the fault.
  void setFault(StreamFault newFault);

  /// \brief Lets answers of all connections share a link; 0 is unlimited.
  void setBitsPerSecond(std::int64_t newRate) { this->bitsPerSecond = newRate; }

private:
  struct Connection;

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  Endpoint server;
  StreamFault fault = StreamFault::none;
  std::int64_t bitsPerSecond = 0;
  std::chrono::steady_clock::time_point linkFreeAt{};
  std::vector<std::weak_ptr<Connection>> connections;

  void accept();
  void receive(const std::shared_ptr<Connection>& connection, bool isRequest);
  void forward(const std::shared_ptr<Connection>& connection,
               bool isRequest,
               std::size_t size);
  void write(const std::shared_ptr<Connection>& connection,
             bool isRequest,
             std::size_t size);
  /// \returns how long a piece waits for the link and takes to cross it.
  std::chrono::steady_clock::duration linkDelay(std::size_t size);
};

}

#endif
