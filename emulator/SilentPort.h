#ifndef BUCKTHORNWING_EMULATOR_SILENT_PORT_H
#define BUCKTHORNWING_EMULATOR_SILENT_PORT_H

#include "TcpPort.h"

#include <boost/asio/io_context.hpp>

namespace buckthornwing::emulator {

/// \brief A TCP port that neither accepts nor refuses connections: its accept
/// queue is full and is never emptied.
class SilentPort
{
public:
  explicit SilentPort(boost::asio::io_context& context);

  /// \brief Binds the port and fills its accept queue.
  /// \returns an error if the address can't be bound
  boost::leaf::result<void> open(const Endpoint& address);

private:
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket firstClient;
  boost::asio::ip::tcp::socket secondClient;
};

}

#endif
