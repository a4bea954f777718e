/// \file
/// \brief Packets that an instance without a view holds, and what it logs of
/// them.

#include "Loopback.h"

#include <cstdio>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace buckthornwing;
using namespace buckthornwing::test;

namespace {

/// \brief Sends standard output, and so the log, to a file.
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

/// An instance without a view wrote 9,572 lines in 16 s: each message that came
/// in decided the held packets again and logged each again.
Test(held_packets, leave_one_line_when_held_and_one_at_the_end)
{
  CapturedLog log;
  Loopback world;
  world.store.setMood(StoreMood::busy);
  Server& server = world.launch("entry-1", TagLogLevel::decisions);
  for (std::uint16_t i = 0; i < kPackets; ++i) {
    world.caller.send(
      Loopback::packet(kOpen, 0, static_cast<std::uint16_t>(kFirstPort + i)),
      server.packetEndpoint());
    world.context.run_for(std::chrono::milliseconds(1));
    world.context.restart();
  }
  world.context.run_for(std::chrono::milliseconds(1000));
  world.context.restart();
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

Test(held_packets, are_carried_on_once_a_view_is_there)
{
  Loopback world;
  world.store.setMood(StoreMood::silent);
  Server& server = world.launch("entry-1");
  world.context.run_for(std::chrono::milliseconds(750));
  world.context.restart();
  world.store.setMood(StoreMood::well);
  // The store is asked again within 150 ms of the answer that did not come.
  cr_assert_eq(world.pass(server, Loopback::packet(kOpen, 0)).size(), 40);
}
