#include "SilentPort.h"

namespace buckthornwing::emulator {
namespace internal {

/// \brief Starts a connection that takes a place in the accept queue. If the
/// queue is already full, the connection stays pending and has the same
/// effect.
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
