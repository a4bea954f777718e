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

/// \returns Asio's form of an endpoint.
boost::asio::ip::udp::endpoint
toUdpEndpoint(const Endpoint& endpoint);

/// \returns this library's form of an Asio endpoint.
Endpoint
fromUdpEndpoint(const boost::asio::ip::udp::endpoint& endpoint);

/// \brief A bound datagram socket that hands over what arrives.
class UdpSocket
{
public:
  using Handler = std::function<void(std::span<const std::uint8_t>)>;

  explicit UdpSocket(boost::asio::io_context& context);

  /// \brief Binds the socket.
  /// \param step names the socket in errors, such as "bind data socket"
  boost::leaf::result<void> open(const Endpoint& address,
                                 const std::string& step);

  /// \brief Calls \a handler for each datagram, many for each wake-up.
  void start(Handler handler);

  /// \brief Sends a datagram; one that the kernel can't take now is lost.
  /// \returns whether the kernel took it
  bool send(std::span<const std::uint8_t> bytes, const Endpoint& to);

  /// \returns the address that the socket is bound to.
  Endpoint localEndpoint() const;

  void close();

private:
  static constexpr std::size_t kMostDatagramBytes = 65536;

  boost::asio::ip::udp::socket socket;
  Handler handler;
  std::array<std::uint8_t, kMostDatagramBytes> buffer{};

  void wait();
  void drain();
};

}

#endif
