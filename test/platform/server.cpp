/// \file
/// \brief The whole daemon over loopback: sockets, the adapter and a stand-in
/// for the platform's store.

#include <Io>
#include <platform/PacketHeader.h>
#include <platform/StoreSource.h>
#include <standin/StoreStandin.h>

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <memory>

using namespace buckthornwing;
using namespace buckthornwing::platform;
using standin::StoreMood;
using standin::StoreStandin;

namespace {

using Server = TagServer<PacketHeader, StoreSource>;

const Endpoint kAnyPort = *parseEndpoint("127.0.0.1:0");

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

/// \brief Store, a target and daemons on loopback.
struct Loopback
{
  boost::asio::io_context context;
  StoreStandin store{ this->context, 2 };
  UdpSocket target{ this->context };
  UdpSocket caller{ this->context };
  std::vector<std::vector<std::uint8_t>> atTarget;
  std::vector<std::vector<std::uint8_t>> atCaller;
  std::vector<std::unique_ptr<Server>> servers;

  Loopback()
  {
    mustSucceed([&] { return this->store.start(kAnyPort); });
    mustSucceed([&] { return this->target.open(kAnyPort, "target"); });
    mustSucceed([&] { return this->caller.open(kAnyPort, "caller"); });
    this->target.start([this](auto bytes) {
      this->atTarget.emplace_back(bytes.begin(), bytes.end());
    });
    this->publish(3, "booking");
    this->announce("i-00000001", "ready");
    for (int i = 2; i <= 5; ++i) {
      this->store.put("servers/i-0000000" + std::to_string(i), "no entry");
    }
  }

  void publish(int version, const std::string& service)
  {
    this->store.put(
      "op/config",
      R"({"version":)" + std::to_string(version) +
        R"(,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",)"
        R"("route_type":"idempotent","service":")" +
        service + R"("}],"services":[{"name":"booking"},{"name":"other"}]})");
  }

  void announce(const std::string& id, const std::string& state)
  {
    const std::string address = formatEndpoint(this->target.localEndpoint());
    this->store.put("servers/" + id,
                    R"({"service":"booking","address":")" + address +
                      R"(","zone":"a","slots":3,"state":")" + state + R"("})");
  }

  Server& launch(const std::string& id)
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
    settings.store = this->store.endpoint();
    settings.fleetKey = "a secret of some length";
    settings.stopWithin = MilliDuration{ 2500 };
    settings.logLevel = TagLogLevel::changes;
    this->servers.push_back(std::make_unique<Server>(this->context, settings));
    mustSucceed([&] { return this->servers.back()->start(); });
    return *this->servers.back();
  }

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

  std::string status(Server& server)
  {
    std::string body;
    httpGet(this->context,
            server.operatorsEndpoint(),
            "/status",
            MilliDuration{ 1000 },
            1000000,
            [&](const HttpResult& result) { body = result.body; });
    this->runUntil([&] { return !body.empty(); });
    return body;
  }

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

  /// \returns the packet that the target got, or nothing.
  std::vector<std::uint8_t> pass(Server& server,
                                 const std::vector<std::uint8_t>& bytes)
  {
    this->atTarget.clear();
    this->caller.send(bytes, server.packetEndpoint());
    this->runUntil([&] { return !this->atTarget.empty(); });
    return this->atTarget.empty() ? std::vector<std::uint8_t>{}
                                  : this->atTarget.front();
  }
};

constexpr std::uint8_t kOpen = 128;
constexpr std::uint8_t kAcknowledge = 4;

std::uint32_t
tagOf(const std::vector<std::uint8_t>& atTarget)
{
  std::uint32_t tag = 0;
  for (std::size_t i = 20; i < 24; ++i) {
    tag = tag << 8 | atTarget[i];
  }
  return tag;
}

}

Test(server, a_flow_opened_at_one_instance_goes_on_at_another)
{
  Loopback world;
  Server& first = world.launch("entry-1");
  Server& second = world.launch("entry-2");
  cr_assert(world.waitReady(first));
  cr_assert(world.waitReady(second));
  const auto opened = world.pass(first, Loopback::packet(kOpen, 0));
  cr_assert_eq(opened.size(), 40);
  cr_assert_eq(opened[7], 1, "the target's number stands before the packet");
  const std::uint32_t tag = tagOf(opened);
  cr_assert_neq(tag, 0);
  const auto later = world.pass(second, Loopback::packet(kAcknowledge, tag));
  cr_assert_eq(later.size(), 40);
  cr_assert_eq(tagOf(later), tag);
}

Test(server, it_is_not_ready_before_the_store_has_answered)
{
  for (const StoreMood mood : { StoreMood::busy,
                                StoreMood::limited,
                                StoreMood::malformed,
                                StoreMood::silent }) {
    Loopback world;
    world.store.setMood(mood);
    Server& server = world.launch("entry-1");
    world.runUntil([&] { return world.store.calls() >= 2; });
    cr_assert_not(world.isReady(server));
    world.store.setMood(StoreMood::well);
    cr_assert(world.waitReady(server));
  }
}

Test(server, a_drain_in_dropped_history_is_learned)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  world.store.setMood(StoreMood::busy);
  world.announce("i-00000001", "draining");
  world.store.dropHistory();
  world.store.setMood(StoreMood::well);
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"takes_new_flows\":true") ==
           std::string::npos;
  }));
}

Test(server, what_was_learned_stays_in_use_while_the_store_is_down)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  world.store.setMood(StoreMood::silent);
  const std::uint64_t calls = world.store.calls();
  cr_assert(world.runUntil([&] { return world.store.calls() >= calls + 3; }));
  cr_assert(world.isReady(server));
  cr_assert_eq(world.pass(server, Loopback::packet(kOpen, 0)).size(), 40);
}

Test(server, a_change_of_routes_is_in_force_within_the_bound)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  world.publish(9, "other");
  const auto changedAt = std::chrono::steady_clock::now();
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"routes_version\":9") !=
           std::string::npos;
  }));
  const auto took = std::chrono::steady_clock::now() - changedAt;
  cr_assert(took < std::chrono::milliseconds(3000));
}

Test(server, a_planned_stop_says_not_ready_and_still_forwards)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  const std::uint32_t tag =
    tagOf(world.pass(server, Loopback::packet(kOpen, 0)));
  server.requestStop();
  cr_assert_not(world.isReady(server));
  cr_assert_eq(world.pass(server, Loopback::packet(kAcknowledge, tag)).size(),
               40);
  bool ended = false;
  for (int i = 0; i < 4000 && !ended; ++i) {
    world.context.run_for(std::chrono::milliseconds(5));
    ended = world.context.stopped() && server.hasStopped();
    world.context.restart();
  }
  cr_assert(ended);
}

Test(server, an_opening_without_a_route_is_reset_at_the_caller)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  // Resets go to the caller's address at the port of the packet socket, which
  // here is the daemon's own: it arrives there as a packet of a target.
  auto bytes = Loopback::packet(kOpen, 0);
  bytes[0] = 9;
  world.caller.send(bytes, server.packetEndpoint());
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"reset\":1") != std::string::npos;
  }));
}
