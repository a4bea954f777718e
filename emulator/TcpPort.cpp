#include "TcpPort.h"

#include <src/Io/Error.h>

#include <boost/leaf/error.hpp>

namespace buckthornwing::emulator {

boost::asio::ip::tcp::endpoint
toTcpEndpoint(const Endpoint& endpoint)
{
  return { boost::asio::ip::make_address(formatIpAddress(endpoint.address)),
           endpoint.port };
}

boost::leaf::result<void>
openAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
             const Endpoint& address,
             int backlog,
             const std::string& step)
{
  const auto local = toTcpEndpoint(address);
  boost::system::error_code code;
  acceptor.open(local.protocol(), code);
  if (!code) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), code);
  }
  if (!code) {
    acceptor.bind(local, code);
  }
  if (!code) {
    acceptor.listen(backlog, code);
  }
  if (code) {
    return boost::leaf::new_error(
      Error{ step, formatEndpoint(address), code.message() });
  }
  return {};
}

}
