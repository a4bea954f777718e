/// \file
/// \brief Loading large views over slow links, from a store that fails while
/// it answers.

#include "Loopback.h"

#include <emulator/StreamProxy.h>

using namespace buckthornwing;
using namespace buckthornwing::test;
using emulator::StreamFault;
using emulator::StreamProxy;

namespace {

using std::chrono::steady_clock;

constexpr std::int64_t kSlowLink = 2'000'000; // bits a second
constexpr int kManyRoutes = 2500;

/// \returns a configuration of many routes as the store holds it.
std::string
largeConfiguration(int version)
{
  std::string text =
    R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (int i = 0; i < kManyRoutes; ++i) {
    text += R"({"name":"route-)" + std::to_string(i) + R"(","host":"198.18.)" +
            std::to_string(i / 250) + "." + std::to_string(1 + i % 250) +
            R"(","prefix":"/443/","route_type":"idempotent","timeout_ms":4000,)"
            R"("aim_ms":500,"priority":2,"service":"booking"},)";
  }
  text.back() = ']';
  return text + R"(,"services":[{"name":"booking"}]})";
}

/// \returns how long the answer with a value takes over a link without
/// anything else.
std::chrono::duration<double>
transferTime(const std::string& value)
{
  constexpr double kBase64 = 4.0 / 3.0;
  constexpr double kBitsPerByte = 8;
  return std::chrono::duration<double>(kBase64 * kBitsPerByte *
                                       static_cast<double>(value.size()) /
                                       static_cast<double>(kSlowLink));
}

/// \brief A daemon that reaches the store over a slow link.
struct SlowLink : Loopback
{
  std::string configuration = largeConfiguration(7);
  StreamProxy link{ this->context, this->store.endpoint() };
  Endpoint address = *parseEndpoint("127.0.0.1:0");

  SlowLink()
  {
    this->store.put("op/config", this->configuration);
    this->link.setBitsPerSecond(kSlowLink);
    mustSucceed([&] { return this->link.open(this->address); });
    this->address = this->link.localEndpoint();
  }

  void runFor(std::chrono::milliseconds span)
  {
    this->context.run_for(span);
    this->context.restart();
  }
};

}

/// On the day trouble-2 the fleet never came back after a loss of power: the
/// listing took longer than the deadline of a whole answer, time after time.
Test(slow_link, a_large_configuration_is_loaded)
{
  SlowLink world;
  const auto startedAt = steady_clock::now();
  Server& server = world.launch("entry-1", world.address);
  cr_assert(world.waitReady(server));
  const std::chrono::duration<double> took = steady_clock::now() - startedAt;
  cr_log_info("ready after %.2f s, transfer %.2f s",
              took.count(),
              transferTime(world.configuration).count());
  cr_assert(took < 2 * transferTime(world.configuration));
}

Test(slow_link, an_answer_that_falls_silent_in_its_middle_is_asked_for_again)
{
  SlowLink world;
  Server& server = world.launch("entry-1", world.address);
  world.runFor(std::chrono::milliseconds(500));
  const std::uint64_t calls = world.store.calls();
  world.link.setFault(StreamFault::answersLost);
  world.runFor(std::chrono::milliseconds(20));
  world.link.setFault(StreamFault::none);
  const auto silentAt = steady_clock::now();
  cr_assert(world.runUntil([&] { return world.store.calls() > calls; }));
  const auto noticed = steady_clock::now() - silentAt;
  cr_assert(noticed < std::chrono::milliseconds(1000));
  cr_assert(world.waitReady(server));
}

Test(slow_link, a_configuration_that_changes_while_it_is_read_is_learned)
{
  SlowLink world;
  Server& server = world.launch("entry-1", world.address);
  world.runFor(std::chrono::milliseconds(500));
  world.store.put("op/config", largeConfiguration(9));
  world.store.dropHistory();
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"routes_version\":9") !=
           std::string::npos;
  }));
}
