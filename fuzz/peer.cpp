/// \file
/// \brief Fuzzes the peer codec, and an engine with each message that can be
/// decoded.
///
/// A message must not decrease the revision of the engine's configuration.

#include <Engine>
#include <Peer>

#include <cstdlib>

namespace {

constexpr std::string_view kDocument =
  R"({"revision":1,"hash_seed":"ab","services":[{"name":"a","addresses":["203.0.113.1"],
  "protocol":"tcp","ports":[443],"selector":"app=a"}],"targets":[{"id":"t",
  "address":"127.0.0.1","tunnel_port":1,"zone":"z","labels":{"app":"a"}}],
  "instances":[{"id":"peer","zone":"z","peer_address":"127.0.0.1:2","state":"live"}]})";

}

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace buckthornwing;
  PeerMessage message;
  if (!decodeEnvelope({ data, size }, message)) {
    return 0;
  }
  EngineSettings settings;
  settings.id = "self";
  settings.zone = "z";
  settings.peerAddress = *parseEndpoint("127.0.0.1:1");
  Engine engine(settings, 1, 1, MilliTime{ 0 });
  engine.onConfiguration(kDocument, MilliTime{ 0 });
  message.header.sender = memberTag("peer");
  const std::uint64_t revision = engine.blackboard().view.revision;
  for (std::int64_t ms = 0; ms < 500; ms += 100) {
    engine.onPeerMessage(message, MilliTime{ ms });
    engine.tick(MilliTime{ ms });
  }
  if (engine.blackboard().view.revision < revision) {
    std::abort();
  }
  return 0;
}
