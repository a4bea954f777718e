#include "StreamProxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace buckthornwing::emulator {
namespace internal {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kDelay{ 300 };

/// \brief Closes a socket so that its peer sees a reset.
void
resetSocket(tcp::socket& socket)
{
  // A socket that its peer has closed already needs nothing more.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}

/// \brief A connection and its continuation to the server.
struct StreamProxy::Link
{
  internal::tcp::socket client;
  internal::tcp::socket server;
  boost::asio::steady_timer requestTimer;
  boost::asio::steady_timer answerTimer;
  std::array<char, 16384> requestBuffer{};
  std::array<char, 16384> answerBuffer{};
  bool isSilent = false;

  explicit Link(boost::asio::io_context& context)
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
  std::erase_if(this->links, [&](const std::weak_ptr<Link>& weak) {
    const auto link = weak.lock();
    if (link != nullptr && newFault == StreamFault::reset) {
      link->reset();
    }
    return link == nullptr;
  });
}

void
StreamProxy::accept()
{
  const auto link = std::make_shared<Link>(this->context);
  this->acceptor.async_accept(
    link->client, [this, link](const boost::system::error_code& code) {
      if (!this->acceptor.is_open()) {
        return;
      }
      if (!code && this->fault == StreamFault::reset) {
        link->reset();
      } else if (!code) {
        this->links.push_back(link);
        link->server.async_connect(
          toTcpEndpoint(this->server),
          [this, link](const boost::system::error_code& problem) {
            if (problem) {
              link->reset();
              return;
            }
            this->pass(link, true);
            this->pass(link, false);
          });
      }
      this->accept();
    });
}

void
StreamProxy::pass(const std::shared_ptr<Link>& link, bool isRequest)
{
  auto& from = isRequest ? link->client : link->server;
  auto& buffer = isRequest ? link->requestBuffer : link->answerBuffer;
  from.async_read_some(
    boost::asio::buffer(buffer),
    [this, link, isRequest](const boost::system::error_code& code,
                            std::size_t size) {
      if (code && !link->isSilent) {
        // The other side may have closed first.
        boost::system::error_code ignored;
        auto& to = isRequest ? link->server : link->client;
        to.shutdown(internal::tcp::socket::shutdown_send, ignored);
      } else if (!code) {
        this->forward(link, isRequest, size);
      }
    });
}

void
StreamProxy::forward(const std::shared_ptr<Link>& link,
                     bool isRequest,
                     std::size_t size)
{
  const auto lost =
    isRequest ? StreamFault::requestsLost : StreamFault::answersLost;
  link->isSilent = link->isSilent || this->fault == lost;
  if (link->isSilent) {
    this->pass(link, isRequest);
    return;
  }
  std::chrono::steady_clock::duration delay{};
  if (this->fault == StreamFault::delayed) {
    delay += internal::kDelay;
  }
  if (!isRequest && this->bitsPerSecond > 0) {
    delay += this->linkDelay(size);
  }
  if (delay.count() == 0) {
    this->write(link, isRequest, size);
    return;
  }
  auto& timer = isRequest ? link->requestTimer : link->answerTimer;
  timer.expires_after(delay);
  timer.async_wait(
    [this, link, isRequest, size](const boost::system::error_code& code) {
      if (!code) {
        this->write(link, isRequest, size);
      }
    });
}

std::chrono::steady_clock::duration
StreamProxy::linkDelay(std::size_t size)
{
  constexpr std::int64_t kBitsPerByte = 8;
  const auto now = std::chrono::steady_clock::now();
  const std::int64_t bits = static_cast<std::int64_t>(size) * kBitsPerByte;
  const std::chrono::nanoseconds crossing(bits * std::nano::den /
                                          this->bitsPerSecond);
  this->linkFreeAt = std::max(this->linkFreeAt, now) + crossing;
  return this->linkFreeAt - now;
}

void
StreamProxy::write(const std::shared_ptr<Link>& link,
                   bool isRequest,
                   std::size_t size)
{
  auto& to = isRequest ? link->server : link->client;
  auto& buffer = isRequest ? link->requestBuffer : link->answerBuffer;
  boost::asio::async_write(
    to,
    boost::asio::buffer(buffer.data(), size),
    [this, link, isRequest](const boost::system::error_code& code,
                            std::size_t) {
      if (code) {
        link->reset();
      } else {
        this->pass(link, isRequest);
      }
    });
}

}
