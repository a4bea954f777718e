#ifndef BUCKTHORNWING_UDP_SOCKET_H
#define BUCKTHORNWING_UDP_SOCKET_H

#include "../Core/IpAddress.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace buckthornwing {

/// \returns the endpoint as a Boost.Asio endpoint.
boost::asio::ip::udp::endpoint
toUdpEndpoint(const Endpoint& endpoint);

/// \returns a Boost.Asio endpoint as an Endpoint.
Endpoint
fromUdpEndpoint(const boost::asio::ip::udp::endpoint& endpoint);

/// \brief Non-blocking UDP socket that passes received datagrams to a handler.
class UdpSocket
{
public:
  using Handler = std::function<void(std::span<const std::uint8_t>)>;

  explicit UdpSocket(boost::asio::io_context& context);

  /// \brief Binds the socket.
  /// \param step the operation that an Error names, such as "bind data socket"
  /// \returns an Error if the address can't be bound.
  boost::leaf::result<void> open(const Endpoint& address,
                                 const std::string& step);

  /// \brief Calls \a handler for each received datagram from now on.
  void start(Handler handler);

  /// \brief Sends a datagram without waiting. If the kernel doesn't accept it,
  /// the datagram is lost.
  /// \returns whether the kernel accepted it.
  bool send(std::span<const std::uint8_t> bytes, const Endpoint& to);

  /// \returns the address that the socket is bound to.
  Endpoint localEndpoint() const;

  void close();

private:
  static constexpr std::size_t kMaxDatagramBytes = 65536;

  boost::asio::ip::udp::socket socket;
  Handler handler;
  std::array<std::uint8_t, kMaxDatagramBytes> buffer{};

  void wait();
  /// \brief Receives the queued datagrams, up to a limit.
  void drain();
};

}

#endif
