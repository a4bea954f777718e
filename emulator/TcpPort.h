#ifndef BUCKTHORNWING_EMULATOR_TCP_PORT_H
#define BUCKTHORNWING_EMULATOR_TCP_PORT_H

#include <Core>

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>
#include <string>

namespace buckthornwing::emulator {

/// \returns Asio's form of an endpoint.
boost::asio::ip::tcp::endpoint
toTcpEndpoint(const Endpoint& endpoint);

/// \brief Binds an acceptor and lets it listen.
/// \param backlog connections that may wait to be taken
/// \param step names the port in errors
boost::leaf::result<void>
openAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
             const Endpoint& address,
             int backlog,
             const std::string& step);

}

#endif
