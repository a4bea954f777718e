#include "DatagramSocket.h"

#include <src/Io/Error.h>

#include <boost/asio/buffer.hpp>

namespace buckthornwing::emulator {

DatagramSocket::DatagramSocket(boost::asio::io_context& context)
  : socket(context)
{
}

boost::leaf::result<void>
DatagramSocket::open(const Endpoint& address, Handler newHandler)
{
  const auto local = toUdpEndpoint(address);
  boost::system::error_code code;
  this->socket.open(local.protocol(), code);
  if (!code) {
    this->socket.bind(local, code);
  }
  if (code) {
    return boost::leaf::new_error(
      Error{ "bind datagram socket", formatEndpoint(address), code.message() });
  }
  this->handler = std::move(newHandler);
  this->receive();
  return {};
}

void
DatagramSocket::send(std::span<const std::uint8_t> bytes, const Endpoint& to)
{
  // The kernel reports an error if the receiver's process was killed. The
  // datagram then counts as lost in the network.
  boost::system::error_code code;
  this->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                       toUdpEndpoint(to),
                       0,
                       code);
}

void
DatagramSocket::close()
{
  boost::system::error_code code;
  this->socket.close(code);
}

void
DatagramSocket::receive()
{
  this->socket.async_receive_from(
    boost::asio::buffer(this->buffer),
    this->sender,
    [this](const boost::system::error_code& code, std::size_t size) {
      if (!this->socket.is_open()) {
        return;
      }
      if (!code) {
        this->handler(std::span(this->buffer).first(size),
                      fromUdpEndpoint(this->sender));
      }
      this->receive();
    });
}

}
