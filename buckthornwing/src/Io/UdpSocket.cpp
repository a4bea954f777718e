#include "UdpSocket.h"

#include "Error.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/error.hpp>

namespace buckthornwing {
namespace internal {

using boost::asio::ip::udp;

/// \brief Maximum number of datagrams received in a row before other work of
/// the io_context runs.
constexpr int kDatagramsPerWakeUp = 64;
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

boost::asio::ip::address
toAsioAddress(const IpAddress& address)
{
  if (address.isV4()) {
    const boost::asio::ip::address_v4::bytes_type bytes{
      address.bytes[12], address.bytes[13], address.bytes[14], address.bytes[15]
    };
    return boost::asio::ip::address_v4(bytes);
  }
  boost::asio::ip::address_v6::bytes_type bytes{};
  std::copy(address.bytes.begin(), address.bytes.end(), bytes.begin());
  return boost::asio::ip::address_v6(bytes);
}

}

boost::asio::ip::udp::endpoint
toUdpEndpoint(const Endpoint& endpoint)
{
  return { internal::toAsioAddress(endpoint.address), endpoint.port };
}

Endpoint
fromUdpEndpoint(const boost::asio::ip::udp::endpoint& endpoint)
{
  const auto address = parseIpAddress(endpoint.address().to_string());
  return Endpoint{ address.value_or(IpAddress{}), endpoint.port() };
}

UdpSocket::UdpSocket(boost::asio::io_context& context)
  : socket(context)
{
}

boost::leaf::result<void>
UdpSocket::open(const Endpoint& address, const std::string& step)
{
  const auto endpoint = toUdpEndpoint(address);
  boost::system::error_code code;
  this->socket.open(endpoint.protocol(), code);
  if (!code) {
    this->socket.bind(endpoint, code);
  }
  if (code) {
    return boost::leaf::new_error(
      Error{ step, formatEndpoint(address), code.message() });
  }
  this->socket.non_blocking(true, code);
  using boost::asio::socket_base;
  this->socket.set_option(
    socket_base::receive_buffer_size(internal::kSocketBufferBytes), code);
  this->socket.set_option(
    socket_base::send_buffer_size(internal::kSocketBufferBytes), code);
  return {};
}

void
UdpSocket::start(Handler newHandler)
{
  this->handler = std::move(newHandler);
  this->wait();
}

void
UdpSocket::wait()
{
  this->socket.async_wait(internal::udp::socket::wait_read,
                          [this](const boost::system::error_code& code) {
                            if (code) {
                              return;
                            }
                            this->drain();
                            this->wait();
                          });
}

void
UdpSocket::drain()
{
  for (int i = 0; i < internal::kDatagramsPerWakeUp; ++i) {
    boost::system::error_code code;
    internal::udp::endpoint from;
    const std::size_t size = this->socket.receive_from(
      boost::asio::buffer(this->buffer), from, 0, code);
    if (code == boost::asio::error::would_block) {
      return;
    }
    // Other errors concern datagrams sent earlier that could not be delivered.
    if (!code) {
      this->handler(std::span(this->buffer).first(size));
    }
  }
}

bool
UdpSocket::send(std::span<const std::uint8_t> bytes, const Endpoint& to)
{
  boost::system::error_code code;
  this->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                       toUdpEndpoint(to),
                       0,
                       code);
  return !code;
}

Endpoint
UdpSocket::localEndpoint() const
{
  boost::system::error_code code;
  return fromUdpEndpoint(this->socket.local_endpoint(code));
}

void
UdpSocket::close()
{
  boost::system::error_code code;
  this->socket.close(code);
}

}
