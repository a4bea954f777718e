/// \file
/// \brief Tests of loading a large configuration over a slow link, also from a
/// store whose response stalls or whose data changes meanwhile.

#include "Loopback.h"

#include <emulator/StreamProxy.h>

using namespace buckthornwing;
using namespace buckthornwing::test;
using emulator::StreamFault;
using emulator::StreamProxy;

namespace {

using std::chrono::steady_clock;

constexpr std::int64_t kLinkBitsPerSecond = 2'000'000;
constexpr int kRouteCount = 2500;

/// \returns the store's value of a configuration with kRouteCount routes.
std::string
largeConfiguration(int version)
{
  std::string text =
    R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (int i = 0; i < kRouteCount; ++i) {
    text += R"({"name":"route-)" + std::to_string(i) + R"(","host":"198.18.)" +
            std::to_string(i / 250) + "." + std::to_string(1 + i % 250) +
            R"(","prefix":"/443/","route_type":"idempotent","timeout_ms":4000,)"
            R"("aim_ms":500,"priority":2,"service":"booking"},)";
  }
  text.back() = ']';
  return text + R"(,"services":[{"name":"booking"}]})";
}

/// \returns the time in which the idle link transfers a value in Base64.
std::chrono::duration<double>
transferTime(const std::string& value)
{
  constexpr double kBase64 = 4.0 / 3.0;
  constexpr double kBitsPerByte = 8;
  return std::chrono::duration<double>(kBase64 * kBitsPerByte *
                                       static_cast<double>(value.size()) /
                                       static_cast<double>(kLinkBitsPerSecond));
}

/// \brief Fixture with a slow link to the store.
struct SlowLink : Loopback
{
  std::string configuration = largeConfiguration(7);
  StreamProxy link{ this->context, this->store.endpoint() };
  Endpoint address = *parseEndpoint("127.0.0.1:0");

  SlowLink()
  {
    this->store.put("op/config", this->configuration);
    this->link.setBitsPerSecond(kLinkBitsPerSecond);
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

/// Guards against a timeout for the whole response: after a power loss in a
/// benchmark run (trouble-2) the fleet never became ready again, because each
/// listing took longer than the timeout and was started anew.
Test(slow_link, a_large_configuration_loads_within_twice_the_transfer_time)
{
  SlowLink slowLink;
  const auto startedAt = steady_clock::now();
  Server& server = slowLink.launch("entry-1", slowLink.address);
  cr_assert(slowLink.waitReady(server));
  const std::chrono::duration<double> took = steady_clock::now() - startedAt;
  cr_log_info("ready after %.2f s, transfer %.2f s",
              took.count(),
              transferTime(slowLink.configuration).count());
  cr_assert(took < 2 * transferTime(slowLink.configuration));
}

/// Guards against waiting for the timeout of the whole request on a connection
/// that delivers no more data.
Test(slow_link, a_response_that_stalls_midway_is_requested_again_within_1_s)
{
  SlowLink slowLink;
  Server& server = slowLink.launch("entry-1", slowLink.address);
  slowLink.runFor(std::chrono::milliseconds(500));
  const std::uint64_t calls = slowLink.store.calls();
  slowLink.link.setFault(StreamFault::answersLost);
  slowLink.runFor(std::chrono::milliseconds(20));
  slowLink.link.setFault(StreamFault::none);
  const auto stalledAt = steady_clock::now();
  cr_assert(slowLink.runUntil([&] { return slowLink.store.calls() > calls; }));
  const auto retriedAfter = steady_clock::now() - stalledAt;
  cr_assert(retriedAfter < std::chrono::milliseconds(1000));
  cr_assert(slowLink.waitReady(server));
}

/// Guards against keeping a configuration that is outdated when it arrives: the
/// store has dropped the change from its history, so that a watch from the
/// listed revision fails and the configuration must be listed again.
Test(slow_link, a_configuration_that_changes_while_it_is_loaded_takes_effect)
{
  SlowLink slowLink;
  Server& server = slowLink.launch("entry-1", slowLink.address);
  slowLink.runFor(std::chrono::milliseconds(500));
  slowLink.store.put("op/config", largeConfiguration(9));
  slowLink.store.dropHistory();
  cr_assert(slowLink.runUntil([&] {
    return slowLink.status(server).find("\"routes_version\":9") !=
           std::string::npos;
  }));
}
