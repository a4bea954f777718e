#ifndef BUCKTHORNWING_EMULATOR_DATAGRAM_SOCKET_H
#define BUCKTHORNWING_EMULATOR_DATAGRAM_SOCKET_H

#include <src/Io/UdpSocket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <span>

namespace buckthornwing::emulator {

/// \brief A UDP socket whose handler also receives the sender's address.
class DatagramSocket
{
public:
  using Handler =
    std::function<void(std::span<const std::uint8_t>, const Endpoint& from)>;

  explicit DatagramSocket(boost::asio::io_context& context);

  /// \brief Binds the socket and passes each datagram received to the handler.
  /// \returns an error if the address can't be bound
  boost::leaf::result<void> open(const Endpoint& address, Handler newHandler);
  /// \brief Sends a datagram. Errors are ignored.
  void send(std::span<const std::uint8_t> bytes, const Endpoint& to);
  void close();

private:
  static constexpr std::size_t kMaxDatagramBytes = 65536;

  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint sender;
  Handler handler;
  std::array<std::uint8_t, kMaxDatagramBytes> buffer{};

  void receive();
};

}

#endif
