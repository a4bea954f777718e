#include "StreamProxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace buckthornwing::emulator {
namespace internal {

using boost::asio::ip::tcp;

/// \brief Delay of data by StreamFault::delayed.
constexpr std::chrono::milliseconds kFaultDelay{ 300 };

/// \brief Closes a socket so that its peer receives a TCP reset.
void
resetSocket(tcp::socket& socket)
{
  // Errors mean that the connection is closed already.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}

/// \brief A client's connection and the matching connection to the server.
struct StreamProxy::Connection
{
  internal::tcp::socket client;
  internal::tcp::socket server;
  boost::asio::steady_timer requestTimer;
  boost::asio::steady_timer answerTimer;
  std::array<char, 16384> requestBuffer{};
  std::array<char, 16384> answerBuffer{};
  bool isSilent = false; ///< has lost data and transfers nothing more

  explicit Connection(boost::asio::io_context& context)
    : client(context)
    , server(context)
    , requestTimer(context)
    , answerTimer(context)
  {
  }

  void reset()
  {
    internal::resetSocket(this->client);
    internal::resetSocket(this->server);
  }
};

StreamProxy::StreamProxy(boost::asio::io_context& context,
                         const Endpoint& server)
  : context(context)
  , acceptor(context)
  , server(server)
{
}

boost::leaf::result<void>
StreamProxy::open(const Endpoint& address)
{
  BOOST_LEAF_CHECK(
    openAcceptor(this->acceptor,
                 address,
                 boost::asio::socket_base::max_listen_connections,
                 "open proxy"));
  this->accept();
  return {};
}

Endpoint
StreamProxy::localEndpoint() const
{
  boost::system::error_code code;
  const auto endpoint = this->acceptor.local_endpoint(code);
  const auto address = parseIpAddress(endpoint.address().to_string());
  return Endpoint{ address.value_or(IpAddress{}), endpoint.port() };
}

void
StreamProxy::setFault(StreamFault newFault)
{
  this->fault = newFault;
  std::erase_if(this->connections, [&](const std::weak_ptr<Connection>& weak) {
    const auto connection = weak.lock();
    if (connection != nullptr && newFault == StreamFault::reset) {
      connection->reset();
    }
    return connection == nullptr;
  });
}

void
StreamProxy::accept()
{
  const auto connection = std::make_shared<Connection>(this->context);
  this->acceptor.async_accept(
    connection->client,
    [this, connection](const boost::system::error_code& code) {
      if (!this->acceptor.is_open()) {
        return;
      }
      if (!code && this->fault == StreamFault::reset) {
        connection->reset();
      } else if (!code) {
        this->connections.push_back(connection);
        connection->server.async_connect(
          toTcpEndpoint(this->server),
          [this, connection](const boost::system::error_code& problem) {
            if (problem) {
              connection->reset();
              return;
            }
            this->receive(connection, true);
            this->receive(connection, false);
          });
      }
      this->accept();
    });
}

void
StreamProxy::receive(const std::shared_ptr<Connection>& connection,
                     bool isRequest)
{
  auto& from = isRequest ? connection->client : connection->server;
  auto& buffer =
    isRequest ? connection->requestBuffer : connection->answerBuffer;
  from.async_read_some(
    boost::asio::buffer(buffer),
    [this, connection, isRequest](const boost::system::error_code& code,
                                  std::size_t size) {
      if (code && !connection->isSilent) {
        // Fails if the other side has closed its connection before.
        boost::system::error_code ignored;
        auto& to = isRequest ? connection->server : connection->client;
        to.shutdown(internal::tcp::socket::shutdown_send, ignored);
      } else if (!code) {
        this->forward(connection, isRequest, size);
      }
    });
}

void
StreamProxy::forward(const std::shared_ptr<Connection>& connection,
                     bool isRequest,
                     std::size_t size)
{
  const auto lost =
    isRequest ? StreamFault::requestsLost : StreamFault::answersLost;
  connection->isSilent = connection->isSilent || this->fault == lost;
  if (connection->isSilent) {
    this->receive(connection, isRequest);
    return;
  }
  std::chrono::steady_clock::duration delay{};
  if (this->fault == StreamFault::delayed) {
    delay += internal::kFaultDelay;
  }
  if (!isRequest && this->bitsPerSecond > 0) {
    delay += this->linkDelay(size);
  }
  if (delay.count() == 0) {
    this->write(connection, isRequest, size);
    return;
  }
  auto& timer = isRequest ? connection->requestTimer : connection->answerTimer;
  timer.expires_after(delay);
  timer.async_wait(
    [this, connection, isRequest, size](const boost::system::error_code& code) {
      if (!code) {
        this->write(connection, isRequest, size);
      }
    });
}

std::chrono::steady_clock::duration
StreamProxy::linkDelay(std::size_t size)
{
  constexpr std::int64_t kBitsPerByte = 8;
  const auto now = std::chrono::steady_clock::now();
  const std::int64_t bits = static_cast<std::int64_t>(size) * kBitsPerByte;
  const std::chrono::nanoseconds transmissionTime(bits * std::nano::den /
                                                  this->bitsPerSecond);
  this->linkFreeAt = std::max(this->linkFreeAt, now) + transmissionTime;
  return this->linkFreeAt - now;
}

void
StreamProxy::write(const std::shared_ptr<Connection>& connection,
                   bool isRequest,
                   std::size_t size)
{
  auto& to = isRequest ? connection->server : connection->client;
  auto& buffer =
    isRequest ? connection->requestBuffer : connection->answerBuffer;
  boost::asio::async_write(
    to,
    boost::asio::buffer(buffer.data(), size),
    [this, connection, isRequest](const boost::system::error_code& code,
                                  std::size_t) {
      if (code) {
        connection->reset();
      } else {
        this->receive(connection, isRequest);
      }
    });
}

}
