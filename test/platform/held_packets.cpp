/// \file
/// \brief Tests of packets that an instance holds until it has a view, and of
/// the log lines about them.

#include "Loopback.h"

#include <cstdio>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace buckthornwing;
using namespace buckthornwing::test;

namespace {

/// \brief Redirects standard output, which carries the log, to a temporary
/// file.
class CapturedLog
{
public:
  CapturedLog()
  {
    std::fflush(stdout);
    cr_assert_not_null(this->file);
    cr_assert_geq(dup2(fileno(this->file), STDOUT_FILENO), 0);
  }

  ~CapturedLog() { std::fclose(this->file); }

  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// \returns the log lines written so far.
  std::vector<boost::json::object> lines()
  {
    std::fflush(stdout);
    std::ifstream in("/proc/self/fd/" + std::to_string(fileno(this->file)));
    std::vector<boost::json::object> parsed;
    for (std::string line; std::getline(in, line);) {
      parsed.push_back(boost::json::parse(line).as_object());
    }
    return parsed;
  }

private:
  std::FILE* file = std::tmpfile();
};

constexpr std::uint16_t kFirstPort = 20000;
constexpr std::uint16_t kPackets = 2000;

}

/// Guards against repeated log lines for held packets: an instance without a
/// view wrote 9,572 lines in 16 s, because it decided on all held packets again
/// at each incoming message and logged each of them again.
Test(held_packets, are_logged_once_when_held_and_once_when_dropped)
{
  CapturedLog log;
  Loopback loopback;
  loopback.store.setFault(StoreFault::busy);
  Server& server = loopback.launch("entry-1", TagLogLevel::decisions);
  for (std::uint16_t i = 0; i < kPackets; ++i) {
    loopback.caller.send(
      Loopback::packet(kOpen, 0, static_cast<std::uint16_t>(kFirstPort + i)),
      server.packetEndpoint());
    loopback.context.run_for(std::chrono::milliseconds(1));
    loopback.context.restart();
  }
  loopback.context.run_for(std::chrono::milliseconds(1000));
  loopback.context.restart();
  std::map<std::string, int> held;
  std::map<std::string, int> ended;
  for (const boost::json::object& line : log.lines()) {
    if (!line.contains("flow")) {
      continue;
    }
    const std::string flow(line.at("flow").as_string());
    const bool isHeld = line.at("event").as_string() == "hold";
    ++(isHeld ? held : ended)[flow];
    cr_assert_not(line.contains("targets_age_ms"));
    if (!isHeld) {
      cr_assert_eq(line.at("event").as_string(), "drop");
      cr_assert_geq(line.at("held_ms").as_int64(), 400);
    }
  }
  cr_assert_gt(held.size(), 100);
  cr_assert_gt(ended.size(), 100);
  for (const auto& [flow, count] : held) {
    cr_assert_eq(count, 1);
  }
  for (const auto& [flow, count] : ended) {
    cr_assert_eq(count, 1);
  }
}

Test(held_packets, are_forwarded_once_a_view_is_loaded)
{
  Loopback loopback;
  loopback.store.setFault(StoreFault::silent);
  Server& server = loopback.launch("entry-1");
  loopback.context.run_for(std::chrono::milliseconds(750));
  loopback.context.restart();
  loopback.store.setFault(StoreFault::none);
  // The first request times out; the next follows within 150 ms of that.
  cr_assert_eq(
    loopback.forwardPacket(server, Loopback::packet(kOpen, 0)).size(), 40);
}
