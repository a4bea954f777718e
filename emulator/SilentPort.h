#ifndef BUCKTHORNWING_EMULATOR_SILENT_PORT_H
#define BUCKTHORNWING_EMULATOR_SILENT_PORT_H

#include "TcpPort.h"

#include <boost/asio/io_context.hpp>

namespace buckthornwing::emulator {

/// \brief A TCP port that answers no connection, neither by taking nor by
/// refusing it: its queue is full and nobody empties it.
class SilentPort
{
public:
  explicit SilentPort(boost::asio::io_context& context);

  boost::leaf::result<void> open(const Endpoint& address);

private:
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket firstClient;
  boost::asio::ip::tcp::socket secondClient;
};

}

#endif
