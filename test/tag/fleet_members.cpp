/// \file
/// \brief Tests of the membership list and of the choice of the instances that
/// read the store: several engines over a simulated network with loss and
/// delay.

#include "FleetWorld.h"

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

Test(fleet, all_instances_find_each_other_through_one_live_seed)
{
  FleetWorld world;
  for (std::uint16_t port = 1; port <= 8; ++port) {
    world.add(port % 2 == 0 ? "a" : "b", port);
  }
  world.run(3_s);
  for (const auto& [address, engine] : world.engines) {
    cr_assert_eq(engine->members().liveCount(world.now), 7);
  }
}

Test(fleet, one_instance_reads_the_store_for_the_fleet)
{
  FleetWorld world;
  world.addInThreeZones(60);
  world.run(3_s);
  world.load(world.engines.begin()->first, 1);
  std::size_t calls = 0;
  for (int i = 0; i < 10; ++i) {
    world.run(1_s);
    const std::size_t readers = world.confirmAtReaders();
    cr_assert_geq(readers, 1);
    calls += readers;
  }
  cr_assert_leq(calls, 13, "%zu calls in 10 s", calls);
}

/// Guards against a fleet without a reader: the reader and then its stand-by
/// fail without notice.
Test(fleet, a_stand_by_takes_over_from_a_lost_reader)
{
  FleetWorld world;
  world.addInThreeZones(12);
  world.run(3_s);
  world.load(world.engines.begin()->first, 1);
  for (const ReaderRole lost : { ReaderRole::reader, ReaderRole::standBy }) {
    for (int i = 0; i < 3; ++i) {
      world.run(1_s);
      world.confirmAtReaders();
    }
    for (const auto& [address, engine] : world.engines) {
      if (engine->members().role(world.now) == lost) {
        world.disconnected[address] = true;
      }
    }
    world.run(1300_ms);
    cr_assert_geq(world.confirmAtReaders(), 1);
  }
}

/// Guards against unneeded calls of the store: a day of the large deployment
/// took 4,115 calls, most of them listings by instances that started while
/// others had a view. Nearly all instances have links of this rate.
Test(fleet, a_process_with_a_slow_link_takes_its_first_view_from_peers)
{
  constexpr double kSlowMegabits = 20;
  FleetWorld world;
  world.linkMegabits = kSlowMegabits;
  for (std::uint16_t port = 1; port <= 8; ++port) {
    world.add("a", port);
  }
  world.load(world.engines.begin()->first, 1);
  world.run(2_s);
  for (std::uint16_t port = 20; port < 32; ++port) {
    world.add("a", port);
  }
  std::size_t reads = 0;
  for (int i = 0; i < 200; ++i) {
    world.run(5_ms);
    for (std::uint16_t port = 20; port < 32; ++port) {
      const TagEngine& engine = world.at(FleetWorld::addressOf(port));
      const bool lists =
        !engine.board().hasView() && engine.shouldReadStore(world.now);
      reads += lists ? 1 : 0;
    }
  }
  cr_assert_eq(reads, 0);
  for (std::uint16_t port = 20; port < 32; ++port) {
    cr_assert(world.at(FleetWorld::addressOf(port)).ready());
  }
}

/// Guards against an instance with a fast link that reads the store although a
/// peer has offered its view. Until then it does read.
Test(fleet, a_process_with_a_fast_link_reads_until_a_peer_has_a_view)
{
  constexpr double kFastMegabits = 1000;
  FleetWorld world;
  world.linkMegabits = kFastMegabits;
  for (std::uint16_t port = 1; port <= 8; ++port) {
    world.add("a", port);
  }
  world.load(world.engines.begin()->first, 1);
  world.run(2_s);
  const Endpoint starter = world.add("a", 20);
  cr_assert(world.at(starter).shouldReadStore(world.now));
  world.run(300_ms);
  cr_assert(world.at(starter).ready());
  cr_assert_not(world.at(starter).shouldReadStore(world.now));
}

Test(fleet, without_a_peer_that_has_a_view_all_instances_read_the_store_at_once)
{
  FleetWorld world;
  for (std::uint16_t port = 1; port <= 8; ++port) {
    world.add("a", port);
  }
  world.run(200_ms);
  for (const auto& [address, engine] : world.engines) {
    cr_assert(engine->shouldReadStore(world.now));
  }
}

Test(fleet, others_read_the_store_when_their_view_is_too_old)
{
  FleetWorld world;
  for (std::uint16_t port = 1; port <= 3; ++port) {
    world.add("a", port);
  }
  world.load(world.engines.begin()->first, 1);
  world.run(5_s);
  for (const auto& [address, engine] : world.engines) {
    cr_assert(engine->shouldReadStore(world.now));
  }
}

Test(fleet, a_member_that_is_silent_is_lost_and_may_return)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  const Endpoint second = world.add("a", 2);
  world.run(1_s);
  world.disconnected[second] = true;
  world.run(FleetMembers::kMemberTimeout + 500_ms);
  cr_assert_eq(world.at(first).members().liveCount(world.now), 0);
  world.disconnected[second] = false;
  world.run(6_s);
  cr_assert_eq(world.at(first).members().liveCount(world.now), 1);
}

Test(fleet, members_that_join_and_leave_are_reported_once)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  const Endpoint second = world.add("b", 2);
  const auto countOf = [&](TagEventKind kind) {
    int count = 0;
    for (const TagEvent& event : world.at(first).takeEvents()) {
      count += event.kind == kind && event.subject == "entry-2" ? 1 : 0;
    }
    return count;
  };
  world.run(2_s);
  cr_assert_eq(countOf(TagEventKind::memberJoined), 1);
  world.disconnected[second] = true;
  world.run(FleetMembers::kMemberTimeout + 1_s);
  cr_assert_eq(countOf(TagEventKind::memberLost), 1);
}

/// Guards against gossip that takes longer than the member timeout: in a fleet
/// of 352 instances, each one reported 43 live members a second as lost and as
/// joined again.
Test(fleet, no_live_member_of_a_large_fleet_is_reported_lost)
{
  constexpr std::uint16_t kInstances = 240;
  FleetWorld world;
  world.loss = 0.01;
  const std::array<std::string, 5> zones{ "a", "b", "c", "d", "e" };
  for (std::uint16_t port = 1; port <= kInstances; ++port) {
    world.add(zones[port % zones.size()], port);
  }
  world.run(7_s);
  for (auto& [address, engine] : world.engines) {
    cr_assert_eq(engine->members().liveCount(world.now), kInstances - 1);
    engine->takeEvents();
  }
  world.run(6_s);
  std::size_t lost = 0;
  for (auto& [address, engine] : world.engines) {
    for (const TagEvent& event : engine->takeEvents()) {
      lost += event.kind == TagEventKind::memberLost ? 1 : 0;
      lost += event.kind == TagEventKind::membersChanged ? 1 : 0;
    }
  }
  cr_assert_eq(lost, 0, "%zu lost", lost);
}

Test(fleet, many_members_lost_at_once_are_reported_by_zone)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  for (std::uint16_t port = 2; port <= 21; ++port) {
    world.add(port % 2 == 0 ? "a" : "b", port);
  }
  world.run(3_s);
  world.at(first).takeEvents();
  for (std::uint16_t port = 2; port <= 21; ++port) {
    world.disconnected[FleetWorld::addressOf(port)] = true;
  }
  world.run(FleetMembers::kMemberTimeout + 1_s);
  std::size_t lines = 0;
  std::size_t zones = 0;
  for (const TagEvent& event : world.at(first).takeEvents()) {
    lines += event.kind == TagEventKind::memberLost ? 1 : 0;
    zones += event.kind == TagEventKind::membersChanged ? 1 : 0;
  }
  cr_assert_geq(zones, 1);
  cr_assert_leq(lines + zones, 10);
}

/// Guards against an instance that is told of a newer view but never receives
/// it: it must read the store.
Test(fleet, an_instance_that_stays_behind_its_peers_reads_the_store)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  world.load(first, 1);
  FleetMessage message = messageOfStranger("entry-0", "a");
  FleetHeartbeat heartbeat;
  heartbeat.view.targetsRevision = 7;
  heartbeat.view.routesVersion = 1;
  message.body = heartbeat;
  // Adds members until one comes first in the order, so that this instance is
  // not the reader.
  for (int i = 0; world.at(first).shouldReadStore(world.now); ++i) {
    cr_assert_lt(i, 100);
    message.sender.id = "entry-0-" + std::to_string(i);
    message.sender.address.port = static_cast<std::uint16_t>(20 + i);
    world.at(first).onFleetMessage(message, world.now);
  }
  for (int i = 0; i < 12; ++i) {
    world.now = world.now + 100_ms;
    world.at(first).onFleetMessage(message, world.now);
  }
  cr_assert(world.at(first).shouldReadStore(world.now));
}

Test(fleet, a_member_that_died_is_lost_at_all_instances)
{
  FleetWorld world;
  world.delay = 40_ms;
  world.addInThreeZones(60);
  world.run(6_s);
  const Endpoint dead = FleetWorld::addressOf(7);
  world.disconnected[dead] = true;
  world.run(FleetMembers::kMemberTimeout + 3_s);
  for (const auto& [address, engine] : world.engines) {
    if (address != dead) {
      cr_assert_eq(engine->members().liveCount(world.now), 58);
    }
  }
}
