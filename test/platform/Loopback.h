#ifndef BUCKTHORNWING_TEST_PLATFORM_LOOPBACK_H
#define BUCKTHORNWING_TEST_PLATFORM_LOOPBACK_H

#include <Io>
#include <platform/PacketCodec.h>
#include <platform/StoreSource.h>
#include <standin/StoreStandin.h>

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <memory>

namespace buckthornwing::test {

using namespace buckthornwing::platform;
using standin::StoreFault;
using standin::StoreStandin;

using Server = TagServer<PacketCodec, StoreSource>;

inline const Endpoint kAnyPort = *parseEndpoint("127.0.0.1:0");

template<typename Body>
void
mustSucceed(Body body)
{
  const bool succeeded = boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<bool> {
      BOOST_LEAF_CHECK(body());
      return true;
    },
    [](const Error& error) {
      cr_log_error("%s", formatError(error).c_str());
      return false;
    },
    [] { return false; });
  cr_assert(succeeded);
}

/// \brief Fixture with a stand-in store, one registered target and daemons, all
/// on the loopback interface.
struct Loopback
{
  boost::asio::io_context context;
  StoreStandin store{ this->context, 2 };
  UdpSocket target{ this->context };
  UdpSocket caller{ this->context };
  std::vector<std::vector<std::uint8_t>> targetPackets;
  std::vector<std::vector<std::uint8_t>> callerPackets;
  std::vector<std::unique_ptr<Server>> servers;

  Loopback()
  {
    mustSucceed([&] { return this->store.start(kAnyPort); });
    mustSucceed([&] { return this->target.open(kAnyPort, "target"); });
    mustSucceed([&] { return this->caller.open(kAnyPort, "caller"); });
    this->target.start([this](auto bytes) {
      this->targetPackets.emplace_back(bytes.begin(), bytes.end());
    });
    this->publishRoutes(3, "booking");
    this->registerTarget("i-00000001", "ready");
    for (int i = 2; i <= 5; ++i) {
      this->store.put("servers/i-0000000" + std::to_string(i), "no entry");
    }
  }

  /// \brief Writes a configuration with one route, 198.18.0.1:443 to a service.
  void publishRoutes(int version, const std::string& service)
  {
    this->store.put(
      "op/config",
      R"({"version":)" + std::to_string(version) +
        R"(,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",)"
        R"("route_type":"idempotent","service":")" +
        service + R"("}],"services":[{"name":"booking"},{"name":"other"}]})");
  }

  /// \brief Writes the registration of the target, under an id and with a
  /// state.
  void registerTarget(const std::string& id, const std::string& state)
  {
    const std::string address = formatEndpoint(this->target.localEndpoint());
    this->store.put("servers/" + id,
                    R"({"service":"booking","address":")" + address +
                      R"(","zone":"a","version":"v1","slots":3,"state":")" +
                      state + R"(","warmup_left_ms":0,"seq":1})");
  }

  /// \brief Starts a daemon that connects to the store directly.
  Server& launch(const std::string& id,
                 TagLogLevel logLevel = TagLogLevel::changes)
  {
    return this->launch(id, this->store.endpoint(), logLevel);
  }

  /// \brief Starts a daemon.
  /// \param store endpoint at which this daemon connects to the store
  Server& launch(const std::string& id,
                 const Endpoint& store,
                 TagLogLevel logLevel = TagLogLevel::changes)
  {
    TagServerSettings settings;
    settings.tag.id = id;
    settings.tag.zone = "a";
    settings.tag.peerAddress = kAnyPort;
    settings.tag.tagSecret = 7;
    settings.tag.seed = this->servers.size();
    settings.tag.incarnation = 1 + this->servers.size();
    settings.packetAddress = kAnyPort;
    settings.readyAddress = kAnyPort;
    settings.operatorsAddress = kAnyPort;
    settings.store = store;
    settings.fleetKey = "a secret of some length";
    settings.stopTimeout = MilliDuration{ 2500 };
    settings.logLevel = logLevel;
    this->servers.push_back(std::make_unique<Server>(this->context, settings));
    mustSucceed([&] { return this->servers.back()->start(); });
    return *this->servers.back();
  }

  /// \brief Runs the event loop until a condition holds, for 30 s at most.
  /// \returns whether the condition holds
  template<typename Condition>
  bool runUntil(Condition condition)
  {
    using std::chrono::steady_clock;
    const auto limit = steady_clock::now() + std::chrono::seconds(30);
    while (!condition() && steady_clock::now() < limit) {
      this->context.run_for(std::chrono::milliseconds(5));
      this->context.restart();
    }
    return condition();
  }

  /// \returns a daemon's response at its operators' address.
  HttpResult query(Server& server, const std::string& path)
  {
    HttpResult response;
    bool isDone = false;
    httpGet(this->context,
            server.operatorsEndpoint(),
            path,
            MilliDuration{ 1000 },
            1000000,
            [&](HttpResult result) {
              response = std::move(result);
              isDone = true;
            });
    this->runUntil([&] { return isDone; });
    return response;
  }

  /// \returns the JSON body of a daemon's /status.
  std::string status(Server& server)
  {
    return this->query(server, "/status").body;
  }

  /// \returns whether a daemon's readiness check answers 200.
  bool isReady(Server& server)
  {
    unsigned code = 0;
    httpGet(this->context,
            server.readyEndpoint(),
            std::string(StoreSource::kReadyPath),
            MilliDuration{ 1000 },
            1000,
            [&](const HttpResult& result) { code = result.status; });
    this->runUntil([&] { return code != 0; });
    return code == 200;
  }

  bool waitReady(Server& server)
  {
    return this->runUntil([&] { return this->isReady(server); });
  }

  /// \brief A packet from 127.0.0.1:40001 to 198.18.0.1:443.
  static std::vector<std::uint8_t> packet(std::uint8_t flags,
                                          std::uint32_t tag,
                                          std::uint16_t port = 40001)
  {
    std::vector<std::uint8_t> bytes{ 0x01, 0xbb, 0x9c, 0x41, 127, 0,
                                     0,    1,    198,  18,   0,   1 };
    bytes.resize(32);
    bytes[2] = static_cast<std::uint8_t>(port >> 8);
    bytes[3] = static_cast<std::uint8_t>(port);
    for (unsigned i = 0; i < 4; ++i) {
      bytes[12 + i] = static_cast<std::uint8_t>(tag >> (24 - 8 * i));
    }
    bytes[18] = flags;
    return bytes;
  }

  /// \brief Sends a packet to a daemon and waits until the target receives one.
  /// \returns the packet that the target received, or nothing after the timeout
  std::vector<std::uint8_t> forwardPacket(
    Server& server,
    const std::vector<std::uint8_t>& bytes)
  {
    this->targetPackets.clear();
    this->caller.send(bytes, server.packetEndpoint());
    this->runUntil([&] { return !this->targetPackets.empty(); });
    return this->targetPackets.empty() ? std::vector<std::uint8_t>{}
                                       : this->targetPackets.front();
  }
};

constexpr std::uint8_t kOpen = 128;
constexpr std::uint8_t kAcknowledge = 4;

/// \returns the flow tag of a packet that the target received.
inline std::uint32_t
tagOf(const std::vector<std::uint8_t>& packet)
{
  std::uint32_t tag = 0;
  for (std::size_t i = 20; i < 24; ++i) {
    tag = tag << 8 | packet[i];
  }
  return tag;
}

}

#endif
