#ifndef BUCKTHORNWING_EMULATOR_DATAGRAMS_H
#define BUCKTHORNWING_EMULATOR_DATAGRAMS_H

#include <src/Io/UdpSocket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <span>

namespace buckthornwing::emulator {

/// \brief A datagram socket that also tells who sent each datagram.
class Datagrams
{
public:
  using Handler =
    std::function<void(std::span<const std::uint8_t>, const Endpoint& from)>;

  explicit Datagrams(boost::asio::io_context& context);

  boost::leaf::result<void> open(const Endpoint& address, Handler newHandler);
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
