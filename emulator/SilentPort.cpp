#include "SilentPort.h"

namespace buckthornwing::emulator {
namespace internal {

/// \brief Takes a place in the queue, or waits for one; either will do.
void
connectClient(boost::asio::ip::tcp::socket& socket, const Endpoint& server)
{
  socket.async_connect(toTcpEndpoint(server),
                       [](const boost::system::error_code&) {});
}

}

SilentPort::SilentPort(boost::asio::io_context& context)
  : acceptor(context)
  , firstClient(context)
  , secondClient(context)
{
}

boost::leaf::result<void>
SilentPort::open(const Endpoint& address)
{
  BOOST_LEAF_CHECK(
    openAcceptor(this->acceptor, address, 0, "bind silent port"));
  internal::connectClient(this->firstClient, address);
  internal::connectClient(this->secondClient, address);
  return {};
}

}
