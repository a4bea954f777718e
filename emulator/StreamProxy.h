#ifndef BUCKTHORNWING_EMULATOR_STREAM_PROXY_H
#define BUCKTHORNWING_EMULATOR_STREAM_PROXY_H

#include "TcpPort.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace buckthornwing::emulator {

/// \brief Fault that a proxy applies to its connections.
enum class StreamFault : std::uint8_t
{
  none,
  delayed,      ///< data is delayed in both directions
  reset,        ///< open and new connections are reset
  requestsLost, ///< data to the server is dropped
  answersLost,  ///< data from the server is dropped
};

/// \brief A TCP proxy that can inject faults into its connections.
class StreamProxy
{
public:
  StreamProxy(boost::asio::io_context& context, const Endpoint& server);

  /// \brief Binds the address and starts to accept connections.
  /// \returns an error if the address can't be bound
  boost::leaf::result<void> open(const Endpoint& address);

  Endpoint localEndpoint() const;

  /// \brief Sets the fault of new and open connections. A connection that has
  /// lost data transfers nothing more, also after the fault has ended.
  void setFault(StreamFault newFault);

  /// \brief Limits the total rate of data from the server over all connections,
  /// in bits per second; 0 means no limit.
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
  /// \brief Waits for data from one side of a connection.
  void receive(const std::shared_ptr<Connection>& connection, bool isRequest);
  /// \brief Applies the fault and the rate limit to the data received.
  void forward(const std::shared_ptr<Connection>& connection,
               bool isRequest,
               std::size_t size);
  /// \brief Writes the data received to the other side of a connection.
  void write(const std::shared_ptr<Connection>& connection,
             bool isRequest,
             std::size_t size);
  /// \brief Reserves the shared link for \a size bytes.
  /// \returns the waiting time for the link plus the transmission time
  std::chrono::steady_clock::duration linkDelay(std::size_t size);
};

}

#endif
