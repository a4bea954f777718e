/// \file
/// \brief Tests of fleets whose instances differ in link and processor: the
/// larger ones do the work for the whole fleet first.

#include "FleetWorld.h"

#include <algorithm>
#include <set>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief Link and processor of an instance.
struct InstanceSize
{
  double megabits = 0;
  double cpuShare = 0;
};

constexpr InstanceSize kSmall{ 10, 0.09 };
constexpr InstanceSize kLarge{ 200, 0.5 };
constexpr InstanceSize kUnknown{};

Endpoint
add(FleetWorld& world,
    const std::string& zone,
    std::uint16_t port,
    const InstanceSize& size)
{
  world.linkMegabits = size.megabits;
  world.cpuShare = size.cpuShare;
  return world.add(zone, port);
}

/// \returns the addresses of the connected instances that have a role.
std::vector<Endpoint>
withRole(FleetWorld& world, ReaderRole role)
{
  std::vector<Endpoint> found;
  for (const auto& [address, engine] : world.engines) {
    if (!world.disconnected[address] &&
        engine->members().role(world.now) == role) {
      found.push_back(address);
    }
  }
  return found;
}

/// \brief Lets the store confirm the view to its readers every 100 ms, and
/// checks that no instance's view becomes old meanwhile: a view of 3 s proves
/// no longer that a route or target is absent.
void
runWithStore(FleetWorld& world, MilliDuration span)
{
  constexpr MilliDuration kMaxAge{ 3000 };
  const MilliTime end = world.now + span;
  while (world.now < end) {
    world.run(100_ms);
    for (const auto& [address, engine] : world.engines) {
      if (world.disconnected[address] || !engine->board().hasView()) {
        continue;
      }
      if (engine->shouldReadStore(world.now)) {
        confirmView(*engine, world.now);
      }
      const MilliDuration age = world.now - engine->board().targetsConfirmedAt;
      cr_assert_leq(age.ms, kMaxAge.ms, "%d", address.port);
    }
  }
}

/// \returns the bytes of views that an instance sent, in ms of its link.
double
viewMs(const FleetWorld& world, std::uint16_t port, double megabits)
{
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAtOneMegabit = 1000;
  const auto sent = world.viewBytes.find(FleetWorld::addressOf(port));
  return sent == world.viewBytes.end()
           ? 0
           : static_cast<double>(sent->second) * kBitsPerByte /
               (megabits * kBitsPerMsAtOneMegabit);
}

constexpr std::uint16_t kRunning = 12;
constexpr std::uint16_t kStarting = 24;
constexpr std::uint16_t kLargeInstances = 3;

/// \brief Lets many small instances start in a zone in which a quarter of the
/// running ones are large.
/// \param tells whether the instances know their share of a core, and so their
/// class
void
startManySmall(FleetWorld& world, bool tells)
{
  const auto sizeOf = [tells](InstanceSize size) {
    size.cpuShare = tells ? size.cpuShare : 0;
    return size;
  };
  for (std::uint16_t port = 1; port <= kRunning; ++port) {
    const bool isLarge = port > kRunning - kLargeInstances;
    add(world, "a", port, sizeOf(isLarge ? kLarge : kSmall));
  }
  const Endpoint first = FleetWorld::addressOf(1);
  world.load(first, 1);
  publishRoutes(world.at(first), manyRoutes(2, 1000), world.now);
  world.run(4_s);
  world.viewBytes.clear();
  for (std::uint16_t i = 1; i <= kStarting; ++i) {
    add(world, "a", kRunning + i, sizeOf(kSmall));
  }
  world.run(2_s);
}

/// \returns the longest time for which views occupied the link of a running
/// instance.
double
busiestLinkMs(const FleetWorld& world)
{
  double busiest = 0;
  for (std::uint16_t port = 1; port <= kRunning; ++port) {
    const bool isLarge = port > kRunning - kLargeInstances;
    const double megabits = isLarge ? kLarge.megabits : kSmall.megabits;
    busiest = std::max(busiest, viewMs(world, port, megabits));
  }
  return busiest;
}

/// \brief Bytes of views that the running instances sent.
struct ServedBytes
{
  std::size_t total = 0;
  std::size_t byLarge = 0;
  std::size_t most = 0; ///< by one instance
};

ServedBytes
servedBytes(const FleetWorld& world)
{
  ServedBytes served;
  for (const auto& [address, bytes] : world.viewBytes) {
    const bool isLarge =
      address.port <= kRunning && address.port > kRunning - kLargeInstances;
    served.total += bytes;
    served.byLarge += isLarge ? bytes : 0;
    served.most = std::max(served.most, bytes);
  }
  return served;
}

}

Test(uneven_instances, the_class_grows_with_the_bottleneck)
{
  cr_assert_eq(capacityClassOf(0, 0.5), 0);
  cr_assert_eq(capacityClassOf(200, 0), 0);
  cr_assert_eq(capacityClassOf(10, 0.5), 1);
  cr_assert_eq(capacityClassOf(200, 0.09), 1);
  cr_assert_eq(capacityClassOf(200, 0.5), 2);
  cr_assert_eq(capacityClassOf(200, 0.25), capacityClassOf(100, 0.5));
  cr_assert_eq(capacityClassOf(1000, 1), 3);
  cr_assert_leq(capacityClassOf(1e12, 1e12), 127, "it is one byte in messages");
}

Test(uneven_instances, equal_instances_keep_the_order_by_hash)
{
  std::set<std::pair<Endpoint, Endpoint>> readers;
  for (const InstanceSize& size : { kUnknown, kSmall, kLarge }) {
    FleetWorld world;
    for (std::uint16_t port = 1; port <= 12; ++port) {
      add(world, port % 2 == 0 ? "a" : "b", port, size);
    }
    world.run(3_s);
    cr_assert_eq(withRole(world, ReaderRole::reader).size(), 1);
    cr_assert_eq(withRole(world, ReaderRole::standBy).size(), 1);
    readers.emplace(withRole(world, ReaderRole::reader).front(),
                    withRole(world, ReaderRole::standBy).front());
  }
  cr_assert_eq(readers.size(), 1, "the classes make no difference");
}

/// Guards against a reader on the smallest instance, whose link the store's
/// lists and the changes for all zones then fill; and against a fleet without a
/// reader when the largest ones fail one after the other.
Test(uneven_instances, the_largest_reads_and_others_follow_when_it_dies)
{
  FleetWorld world;
  const std::array<std::string, 3> zones{ "a", "b", "c" };
  const std::set<std::uint16_t> large{ 5, 9, 13 };
  for (std::uint16_t port = 1; port <= 15; ++port) {
    add(world, zones[port % 3], port, large.contains(port) ? kLarge : kSmall);
  }
  world.run(3_s);
  world.load(FleetWorld::addressOf(1), 1);
  for (std::size_t died = 0; died < large.size(); ++died) {
    runWithStore(world, 6_s);
    const std::vector<Endpoint> readers = withRole(world, ReaderRole::reader);
    cr_assert_eq(readers.size(), 1);
    cr_assert(large.contains(readers.front().port));
    const std::vector<Endpoint> standBy = withRole(world, ReaderRole::standBy);
    cr_assert_eq(standBy.size(), 1);
    const bool isLastLarge = died + 1 == large.size();
    cr_assert(isLastLarge || large.contains(standBy.front().port));
    world.disconnected[readers.front()] = true;
  }
  runWithStore(world, 6_s);
  cr_assert_eq(withRole(world, ReaderRole::reader).size(), 1);
}

/// A rollout replaces instances that know no classes one by one. Two readers
/// are harmless meanwhile, but the view must never lose its last one.
Test(uneven_instances, a_fleet_of_old_and_new_instances_always_has_a_reader)
{
  constexpr std::uint16_t kInstances = 12;
  for (const bool largeFirst : { false, true }) {
    FleetWorld world;
    for (std::uint16_t port = 1; port <= kInstances; ++port) {
      world.knowsNoClasses[FleetWorld::addressOf(port)] = true;
      add(world, port % 2 == 0 ? "a" : "b", port, kUnknown);
    }
    world.run(3_s);
    world.load(FleetWorld::addressOf(1), 1);
    runWithStore(world, 1_s);
    for (std::uint16_t i = 1; i <= kInstances; ++i) {
      const std::uint16_t port =
        largeFirst ? static_cast<std::uint16_t>(kInstances + 1 - i) : i;
      world.knowsNoClasses[FleetWorld::addressOf(port)] = false;
      add(world, port % 2 == 0 ? "a" : "b", port, port > 9 ? kLarge : kSmall);
      runWithStore(world, 4_s);
      const auto readers = withRole(world, ReaderRole::reader);
      cr_assert_geq(readers.size(), 1, "%d replaced", i);
      cr_assert_leq(readers.size(), 2, "%zu readers", readers.size());
    }
    cr_assert_eq(withRole(world, ReaderRole::reader).size(), 1);
    cr_assert_gt(withRole(world, ReaderRole::reader).front().port, 9);
  }
}

/// Members of the version before leave the class out of what they pass on.
Test(uneven_instances, gossip_of_an_older_version_does_not_lower_the_class)
{
  FleetMember member;
  member.id = "entry-2";
  member.zone = "a";
  member.address = FleetWorld::addressOf(2);
  member.incarnation = 5;
  member.capacityClass = 2;
  FleetMember self;
  self.id = "entry-1";
  self.address = FleetWorld::addressOf(1);
  FleetMembers members(self);
  const MilliTime now{ 100000 };
  members.recordMessage(member, now);
  member.capacityClass = 0;
  members.mergeGossip({ member, 0_ms }, now + 10_ms);
  cr_assert_eq(members.all().begin()->second.member.capacityClass, 2);
  member.incarnation = 6;
  members.mergeGossip({ member, 0_ms }, now + 20_ms);
  cr_assert_eq(members.all().begin()->second.member.capacityClass, 0);
}

/// Guards against a small instance that serves as many first views as a large
/// one, and against one instance that serves all of them.
Test(uneven_instances, starting_instances_take_their_views_from_large_ones)
{
  FleetWorld before;
  startManySmall(before, false);
  FleetWorld after;
  startManySmall(after, true);
  const double msBefore = busiestLinkMs(before);
  const double msAfter = busiestLinkMs(after);
  cr_log_info("views occupy the busiest link for %.0f ms, with classes %.0f ms",
              msBefore,
              msAfter);
  cr_assert_lt(msAfter, msBefore);
  const ServedBytes served = servedBytes(after);
  cr_assert_geq(served.byLarge, served.total / 2);
  cr_assert_leq(served.most, served.total / 2);
  for (const auto& [address, engine] : after.engines) {
    cr_assert(engine->ready());
  }
}

/// The death of the largest instances must not keep others from a view: they
/// count as live for some seconds.
Test(uneven_instances, a_first_view_arrives_although_the_largest_have_died)
{
  FleetWorld world;
  for (std::uint16_t port = 1; port <= 10; ++port) {
    add(world, "a", port, port > 7 ? kLarge : kSmall);
  }
  world.load(FleetWorld::addressOf(1), 1);
  world.run(3_s);
  for (std::uint16_t port = 8; port <= 10; ++port) {
    world.disconnected[FleetWorld::addressOf(port)] = true;
  }
  const Endpoint starter = add(world, "a", 20, kSmall);
  world.run(450_ms);
  cr_assert(world.at(starter).ready());
}
