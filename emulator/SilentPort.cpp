#include "SilentPort.h"

#include <memory>

namespace buckthornwing::emulator {
namespace internal {

using boost::asio::ip::tcp;

/// \brief Takes a place in the queue, or waits for one.
void
occupy(tcp::socket& socket, const tcp::endpoint& server)
{
  socket.async_connect(server, [](const boost::system::error_code&) {});
}

}

SilentPort::SilentPort(boost::asio::io_context& context,
                       const Endpoint& address)
  : acceptor(context)
  , first(context)
  , second(context)
{
  const internal::tcp::endpoint local(
    boost::asio::ip::make_address(formatIpAddress(address.address)),
    address.port);
  boost::system::error_code code;
  this->acceptor.open(local.protocol(), code);
  this->acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                            code);
  this->acceptor.bind(local, code);
  this->acceptor.listen(0, code);
  if (!code) {
    internal::occupy(this->first, local);
    internal::occupy(this->second, local);
  }
}

}
