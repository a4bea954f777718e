#ifndef BUCKTHORNWING_EMULATOR_TCP_PORT_H
#define BUCKTHORNWING_EMULATOR_TCP_PORT_H

#include <Core>

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>
#include <string>

namespace buckthornwing::emulator {

/// \returns an endpoint in the representation of Asio.
boost::asio::ip::tcp::endpoint
toTcpEndpoint(const Endpoint& endpoint);

/// \brief Binds an acceptor to an address and starts to listen.
/// \param backlog maximum length of the queue of connections to be accepted
/// \param step name of the step in the error
/// \returns an error if the address can't be bound
boost::leaf::result<void>
openAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
             const Endpoint& address,
             int backlog,
             const std::string& step);

}

#endif
