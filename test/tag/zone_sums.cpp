/// \file
/// \brief Tests of the sums of loads that instances report to other zones.

#include "TagFixture.h"

#include <criterion/criterion.h>

#include <limits>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief An engine of zone a that receives reports of one target.
struct SumWorld
{
  EngineFixture fixture{ 1 };

  /// \param number of the member that sends the report
  void receive(std::uint16_t number,
               const std::string& zone,
               TargetReport report)
  {
    FleetMessage message;
    message.sender.id = "entry-" + std::to_string(number);
    message.sender.zone = zone;
    message.sender.address = *parseEndpoint("127.0.0.1:1");
    message.sender.address.port = number;
    report.target = targetKeyOf("t-1").shortened();
    FleetHeartbeat heartbeat;
    heartbeat.reports = { report };
    message.body = heartbeat;
    this->fixture.engine.onFleetMessage(message, this->fixture.now);
  }

  TargetLoad load()
  {
    this->fixture.run(300_ms);
    const TagBlackboard& board = this->fixture.engine.board();
    return board.observer.load(board.registry.find("t-1"));
  }
};

TargetReport
ownReport(std::int32_t flows, std::int32_t busy)
{
  TargetReport report;
  report.flows = flows;
  report.busy = busy;
  return report;
}

TargetReport
summedReport(std::int32_t flows, std::int32_t busy)
{
  TargetReport report = ownReport(1, 1);
  report.totalFlows = flows;
  report.totalBusy = busy;
  return report;
}

}

/// Load it answers: a large zone, of whose members few are heard.
Test(zone_sums, the_newest_sum_of_a_zone_replaces_its_members_reports)
{
  SumWorld world;
  world.receive(11, "b", ownReport(5, 3));
  world.receive(12, "b", summedReport(40, 20));
  world.receive(13, "b", summedReport(30, 10));
  world.receive(14, "c", summedReport(7, 2));
  world.receive(15, "a", ownReport(4, 2));
  const TargetLoad load = world.load();
  cr_assert_eq(load.peerFlows, 30 + 7 + 4);
  cr_assert_eq(load.peerBusy, 10 + 2 + 2);
}

/// A zone whose instances all are of an earlier version, which sends no sums.
Test(zone_sums, reports_without_sums_are_added_up)
{
  SumWorld world;
  world.receive(11, "b", ownReport(5, 3));
  world.receive(12, "b", ownReport(6, 1));
  const TargetLoad load = world.load();
  cr_assert_eq(load.peerFlows, 11);
  cr_assert_eq(load.peerBusy, 4);
}

/// A zone that was cut off: its sums are forgotten.
Test(zone_sums, sums_that_are_not_renewed_expire)
{
  SumWorld world;
  world.receive(11, "b", summedReport(40, 20));
  cr_assert_eq(world.load().peerBusy, 20);
  world.fixture.run(6_s);
  cr_assert_eq(world.load().peerBusy, 0);
}

/// Wrong reports: a sum is at least the sender's own load, and its requests are
/// at most its flows.
Test(zone_sums, implausible_sums_are_limited)
{
  SumWorld world;
  constexpr std::int32_t kMax = std::numeric_limits<std::int32_t>::max();
  world.receive(11, "b", summedReport(-40, kMax));
  cr_assert_eq(world.load().peerFlows, 1);
  cr_assert_eq(world.load().peerBusy, 1);
  world.receive(11, "b", summedReport(kMax, kMax));
  cr_assert_leq(world.load().peerFlows, 100000);
}
