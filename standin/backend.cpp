/// \file
/// \brief Stand-in for a backend server: receives packets through a tunnel,
/// tracks connections, and answers callers directly. The payload of an answer
/// is the server's id.

#include <Core>
#include <src/Io/HttpServer.h>
#include <src/Io/RunMain.h>
#include <src/Io/UdpSocket.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <iostream>
#include <set>
#include <tclap/CmdLine.h>

namespace buckthornwing {
namespace internal {

/// \brief A backend server.
class Backend
{
public:
  Backend(boost::asio::io_context& context,
          std::string id,
          const Endpoint& replyTo,
          std::size_t shedAbove)
    : tunnel(context)
    , status(context)
    , id(std::move(id))
    , replyTo(replyTo)
    , shedAbove(shedAbove)
  {
  }

  boost::leaf::result<void> start(const Endpoint& tunnelAddress,
                                  const Endpoint& statusAddress)
  {
    BOOST_LEAF_CHECK(this->tunnel.open(tunnelAddress, "bind tunnel"));
    BOOST_LEAF_CHECK(this->status.open(statusAddress, "bind status"));
    this->tunnel.start([this](auto packet) { this->onPacket(packet); });
    this->status.start(
      [this](const std::string&, const HttpServer::Respond& respond) {
        respond({ 200, "application/json", this->statusBody(), "" });
      });
    return {};
  }

private:
  UdpSocket tunnel;
  HttpServer status;
  std::string id;
  Endpoint replyTo;
  std::size_t shedAbove;
  std::set<FlowKey> connections;

  std::string statusBody() const
  {
    return boost::json::serialize(boost::json::object{
      { "healthy", true },
      { "connections", this->connections.size() },
      { "busy_slots", 0 },
      { "queued", 0 },
      { "shedding", this->connections.size() > this->shedAbove } });
  }

  void onPacket(std::span<const std::uint8_t> bytes)
  {
    const ParsedPacket packet = parsePacket(bytes);
    if (packet.fault != ParseFault::none) {
      return;
    }
    const FlowKey replyFlow{ packet.key.destination,
                             packet.key.source,
                             packet.key.protocol };
    TcpFlags flags{ .ack = true };
    if (packet.kind == PacketKind::opening) {
      this->connections.insert(packet.key);
      flags.syn = true;
    } else if (packet.kind == PacketKind::datagram) {
      this->reply(buildUdpPacket(replyFlow, this->payload()));
      return;
    } else if (!this->connections.contains(packet.key)) {
      // A host answers a segment of an unknown connection with a reset.
      flags.rst = true;
    } else if (packet.kind == PacketKind::closing) {
      this->connections.erase(packet.key);
      flags.fin = true;
    }
    this->reply(buildTcpPacket(replyFlow, flags, this->payload()));
  }

  std::span<const std::uint8_t> payload() const
  {
    return { reinterpret_cast<const std::uint8_t*>(this->id.data()),
             this->id.size() };
  }

  void reply(const std::vector<std::uint8_t>& packet)
  {
    this->tunnel.send(packet, this->replyTo);
  }
};

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  TCLAP::CmdLine command("Stand-in for a backend server", ' ', "0.1");
  TCLAP::ValueArg<std::string> id(
    "", "id", "payload of all answers", true, "", "ID", command);
  TCLAP::ValueArg<std::string> tunnel(
    "", "tunnel", "address:port, UDP", true, "", "ENDPOINT", command);
  TCLAP::ValueArg<std::string> status(
    "", "status", "address:port, HTTP", true, "", "ENDPOINT", command);
  TCLAP::ValueArg<std::string> replyTo(
    "", "reply-to", "address:port of callers", true, "", "ENDPOINT", command);
  TCLAP::ValueArg<std::size_t> shedAbove("",
                                         "shed-above",
                                         "connections above which it sheds",
                                         false,
                                         1000000,
                                         "N",
                                         command);
  command.parse(argc, argv);
  const auto tunnelAddress = parseEndpoint(tunnel.getValue());
  const auto statusAddress = parseEndpoint(status.getValue());
  const auto replyAddress = parseEndpoint(replyTo.getValue());
  if (!tunnelAddress || !statusAddress || !replyAddress) {
    std::cerr << "standin-backend: expected address:port for each endpoint\n";
    return kFailureExit;
  }
  boost::asio::io_context context;
  internal::Backend backend(
    context, id.getValue(), *replyAddress, shedAbove.getValue());
  return runMain("standin-backend", [&]() -> boost::leaf::result<int> {
    BOOST_LEAF_CHECK(backend.start(*tunnelAddress, *statusAddress));
    context.run();
    return 0;
  });
}
