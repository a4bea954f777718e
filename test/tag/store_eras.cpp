/// \file
/// \brief Tests of positions in the store's history: listings whose pages are
/// torn by changes, updates that don't continue from the present position, and
/// a store that comes back from an older copy of its data.

#include "FleetWorld.h"

#include <functional>
#include <type_traits>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// The version of a change proves nothing about the changes before it, so it is
/// not taken for a position.
static_assert(!std::is_convertible_v<ChangeVersion, StorePosition>);
static_assert(!std::is_convertible_v<StorePosition, ChangeVersion>);
static_assert(!std::is_assignable_v<StorePosition&, ChangeVersion>);
static_assert(!std::is_invocable_v<std::less<>, ChangeVersion, StorePosition>);

constexpr MilliTime kStart{ 100000 };

/// \returns a change of era 2.
TargetChange
inEra2(TargetChange change)
{
  change.version.era = 2;
  return change;
}

TargetChange
drained(std::uint64_t number, std::uint64_t revision)
{
  return listed(number, revision, "booking", "a", TargetState::draining);
}

/// \returns a registration of a process that started at a time.
TargetChange
bornAt(std::uint64_t born, TargetChange change)
{
  change.record.incarnation = born;
  return change;
}

/// \brief Registry that holds era 1 up to revision 20, and then lists era 2.
struct EraFixture
{
  TargetRegistry registry;

  explicit EraFixture(std::vector<TargetChange> changes)
  {
    for (TargetChange& change : changes) {
      change.version.era = 1;
    }
    this->registry.applyListing({ positionAt(0, 1), {} }, kStart);
    this->registry.applyDelta({ positionAt(0, 1), positionAt(20, 1), changes },
                              kStart);
  }

  void listEra2(const std::vector<TargetChange>& copy, MilliTime now)
  {
    this->registry.recordStoreFailure(now);
    this->registry.applyListing({ positionAt(10, 2), copy }, now);
  }

  const KnownTarget& target(std::uint64_t number) const
  {
    return this->registry.at(
      this->registry.find("t-" + std::to_string(number)));
  }
};

}

/// Guards against a change between two pages of a listing that is lost, because
/// the position was taken from a change on a later page.
Test(positions, a_listing_covers_no_more_than_its_first_page)
{
  TargetRegistry registry;
  const std::vector<TargetChange> pages{ listed(1, 3), listed(2, 9) };
  registry.applyListing({ positionAt(5), pages }, kStart);
  cr_assert(registry.position() == positionAt(5));
  cr_assert(registry.contentPosition() == positionAt(5));
  const TargetChange between = drained(1, 8);
  cr_assert(
    registry
      .applyDelta({ positionAt(5), positionAt(9), std::span(&between, 1) },
                  kStart)
      .has_value());
  cr_assert_not(registry.at(registry.find("t-1")).takesNewFlows());
  cr_assert(registry.contentPosition() == positionAt(9));
}

/// Guards against a target that comes back to life for good: a starting
/// instance had listed the targets without it, and then got an older update of
/// a peer.
Test(positions, an_older_update_does_not_bring_back_a_target_that_has_left)
{
  TargetRegistry registry;
  const TargetChange first = listed(1, 3);
  registry.applyListing({ positionAt(9), std::span(&first, 1) }, kStart);
  const TargetChange left = listed(2, 5);
  registry.applyDelta({ positionAt(4), positionAt(6), std::span(&left, 1) },
                      kStart);
  cr_assert_eq(registry.find("t-2"), kNoTargetSlot);
  const std::vector<TargetChange> older{ first, left };
  registry.applyListing({ positionAt(6), older }, kStart);
  cr_assert_eq(registry.find("t-2"), kNoTargetSlot);
  const TargetChange again = listed(2, 12);
  registry.applyDelta({ positionAt(9), positionAt(12), std::span(&again, 1) },
                      kStart);
  cr_assert(registry.at(registry.find("t-2")).takesNewFlows());
}

/// Guards against targets that are gone and get flows for good: the reader was
/// started again after a removal, listed the targets without it, and had
/// nothing newer to tell the peers that still knew it.
Test(positions, a_removal_that_the_new_reader_never_saw_reaches_its_peers)
{
  FleetWorld world;
  world.addInThreeZones(6);
  world.load(FleetWorld::addressOf(1), 5);
  world.run(2_s);
  const Endpoint fresh = world.add("a", 7);
  std::vector<TargetChange> left;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    left.push_back(listed(i, i, "booking", i % 2 == 0 ? "a" : "b"));
  }
  listTargets(world.at(fresh), 8, left, world.now);
  publishRoutes(world.at(fresh), twoRoutes(5), world.now);
  world.run(2_s);
  for (const auto& [address, engine] : world.engines) {
    const TargetRegistry& registry = engine->board().registry;
    const TargetSlot slot = registry.find("t-6");
    cr_assert(slot == kNoTargetSlot || !registry.at(slot).takesNewFlows());
    cr_assert_eq(registry.position().revision, 8);
  }
}

Test(positions, changes_that_do_not_continue_change_nothing)
{
  TargetRegistry registry;
  const TargetChange first = listed(1, 3);
  registry.applyListing({ positionAt(5), std::span(&first, 1) }, kStart);
  const TargetChange later = drained(1, 9);
  const std::span<const TargetChange> changes(&later, 1);
  cr_assert_not(
    registry.applyDelta({ positionAt(7), positionAt(9), changes }, kStart)
      .has_value());
  cr_assert_not(
    registry.applyDelta({ positionAt(3, 1), positionAt(9, 1), changes }, kStart)
      .has_value());
  cr_assert(registry.position() == positionAt(5));
  cr_assert(registry.at(registry.find("t-1")).takesNewFlows());
}

/// Guards against peers that request an update again and again because the
/// store's revision rises without a change of the targets.
Test(positions, the_content_keeps_its_position_while_nothing_changes)
{
  TargetRegistry registry;
  const TargetChange first = listed(1, 3);
  registry.applyListing({ positionAt(5), std::span(&first, 1) }, kStart);
  registry.applyDelta({ positionAt(5), positionAt(40), {} }, kStart);
  cr_assert(registry.position() == positionAt(40));
  cr_assert(registry.contentPosition() == positionAt(5));
}

Test(store_eras, an_older_copy_does_not_take_back_a_drain)
{
  EraFixture fixture({ drained(1, 15) });
  fixture.listEra2({ inEra2(listed(1, 4)) }, kStart);
  cr_assert_not(fixture.target(1).takesNewFlows());
  cr_assert(fixture.target(1).presence == TargetPresence::listed);
  const TargetChange again = inEra2(drained(1, 12));
  fixture.registry.applyDelta(
    { positionAt(10, 2), positionAt(12, 2), std::span(&again, 1) }, kStart);
  cr_assert_not(fixture.target(1).takesNewFlows());
}

Test(store_eras, a_target_that_says_anew_that_it_serves_takes_flows)
{
  EraFixture fixture({ drained(1, 15), bornAt(7, drained(2, 16)) });
  fixture.listEra2({ inEra2(listed(1, 4)), inEra2(bornAt(9, listed(2, 5))) },
                   kStart);
  cr_assert(fixture.target(2).takesNewFlows(), "it was started again");
  const TargetChange anew = inEra2(listed(1, 12));
  fixture.registry.applyDelta(
    { positionAt(10, 2), positionAt(12, 2), std::span(&anew, 1) }, kStart);
  cr_assert(fixture.target(1).takesNewFlows());
}

Test(store_eras, a_target_that_had_left_takes_no_flows_until_it_is_renewed)
{
  EraFixture fixture({ listed(1, 4), gone(1, 15) });
  fixture.listEra2({ inEra2(listed(1, 4)) }, kStart);
  cr_assert_not(fixture.target(1).takesNewFlows());
  // Only a registry that is known to be complete shows that the store has kept
  // the entry.
  const MilliTime later = kStart + 20_s;
  fixture.registry.tick(kStart, later);
  cr_assert_not(fixture.target(1).takesNewFlows());
  fixture.registry.tick(later, later);
  cr_assert(fixture.target(1).takesNewFlows());
}

/// Guards against a service without targets for 7 s: all registrations had
/// expired, and were back in the next era.
Test(store_eras, a_target_that_vanished_and_answers_a_probe_takes_flows)
{
  EngineFixture world(2);
  const std::vector<TargetChange> ends{ gone(1, 200), gone(2, 201) };
  changeTargets(world.engine, 201, ends, world.now);
  std::vector<TargetChange> back{ listed(1, 10), listed(2, 11) };
  for (TargetChange& change : back) {
    change.version.era = 1;
  }
  world.engine.onTargetListing(
    { positionAt(11, 1), back }, world.now, world.now);
  world.run(100_ms, false);
  const TargetRegistry& registry = world.engine.board().registry;
  cr_assert_not(registry.at(registry.find("t-1")).takesNewFlows());
  for (const TargetSlot slot : world.engine.takeProbes()) {
    const bool isFirst = slot == registry.find("t-1");
    world.engine.onProbeResult(
      slot, isFirst ? ProbeResult::alive : ProbeResult::refused, world.now);
  }
  cr_assert(registry.at(registry.find("t-1")).takesNewFlows());
  cr_assert_not(registry.at(registry.find("t-2")).takesNewFlows());
}

Test(store_eras, a_target_that_the_copy_lacks_is_kept_for_a_while)
{
  EraFixture fixture({ listed(1, 4), listed(2, 15) });
  fixture.listEra2({ inEra2(listed(1, 4)) }, kStart);
  cr_assert(fixture.target(2).presence == TargetPresence::lapsed);
  cr_assert(fixture.target(2).takesNewFlows());
  const MilliTime second = kStart + 1500_ms;
  fixture.registry.applyListing({ positionAt(9, 3), {} }, second);
  fixture.registry.tick(kStart, second + 1500_ms);
  cr_assert(fixture.target(2).presence == TargetPresence::lapsed,
            "the time counts from the store's last return");
  fixture.registry.tick(kStart, second + 2500_ms);
  cr_assert(fixture.target(2).presence == TargetPresence::gone);
}

Test(store_eras, an_entry_of_an_earlier_process_does_not_replace_a_later_one)
{
  TargetChange moved = bornAt(9, listed(1, 15));
  moved.record.address.port = 9999;
  EraFixture fixture({ bornAt(7, listed(1, 4)), moved });
  fixture.listEra2({ inEra2(bornAt(7, listed(1, 4))) }, kStart);
  cr_assert_eq(fixture.target(1).record.address.port, 9999);
  cr_assert(fixture.target(1).takesNewFlows());
}

Test(store_eras, peers_learn_that_a_target_awaits_its_renewal)
{
  EraFixture fixture({ drained(1, 15) });
  fixture.listEra2({ inEra2(listed(1, 4)) }, kStart);
  ViewUpdate update;
  update.view.targetsEra = 2;
  update.targets = fixture.registry.changesSince({}, update.isFull, kStart);
  const std::string bytes = encodeViewUpdate(update);
  const auto decoded = decodeViewUpdate(
    { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() });
  TargetRegistry fresh;
  fresh.applyListing({ positionAt(10, 2), decoded->targets }, kStart);
  cr_assert_not(fresh.at(fresh.find("t-1")).takesNewFlows());
  const MilliTime later = kStart + 20_s;
  fresh.tick(later, later);
  cr_assert(fresh.at(fresh.find("t-1")).takesNewFlows());
}

namespace {

/// \brief Lists the targets of FleetWorld::load() in a new era, in which target
/// 2 is draining at a revision that the era before had given out.
void
listNewEra(FleetWorld& world, const Endpoint& reader, StoreEra era)
{
  std::vector<TargetChange> changes;
  for (std::uint64_t i = 1; i <= 6; ++i) {
    changes.push_back(listed(i, i, "booking", i % 2 == 0 ? "a" : "b"));
    changes.back().version.era = era;
  }
  TargetChange drain = drained(2, 7);
  drain.version.era = era;
  changes[1] = drain;
  TagEngine& engine = world.at(reader);
  engine.onStoreEra(era);
  engine.onTargetListing({ positionAt(7, era), changes }, world.now, world.now);
}

bool
knowsDrain(FleetWorld& world, const Endpoint& address)
{
  const TargetRegistry& registry = world.at(address).board().registry;
  return !registry.at(registry.find("t-2")).takesNewFlows();
}

}

/// Guards against instances whose lost, higher revisions overrule those of an
/// instance that reads the new store.
Test(store_eras, peers_follow_the_instance_that_reads_the_newer_era)
{
  FleetWorld world;
  world.addInThreeZones(12);
  const Endpoint reader = FleetWorld::addressOf(1);
  world.load(reader, 5);
  world.run(2_s);
  // Only this instance has received the last changes of the first era.
  const Endpoint ahead = FleetWorld::addressOf(2);
  changeTargets(world.at(ahead), 90, std::vector{ listed(3, 90) }, world.now);
  world.run(1_s);
  listNewEra(world, reader, 2);
  world.run(2_s);
  for (const auto& [address, engine] : world.engines) {
    cr_assert(knowsDrain(world, address));
    cr_assert_eq(engine->board().registry.position().era, 2);
  }
}

/// A zone that was cut off during the drill agrees with the others within 2 s
/// of being connected.
Test(store_eras, instances_that_were_cut_off_follow_when_they_are_connected)
{
  FleetWorld world;
  world.addInThreeZones(12);
  const Endpoint reader = FleetWorld::addressOf(1);
  world.load(reader, 5);
  world.run(2_s);
  for (std::uint16_t port = 3; port <= 12; port += 3) {
    world.disconnected[FleetWorld::addressOf(port)] = true;
  }
  listNewEra(world, reader, 2);
  world.run(1_s);
  listNewEra(world, reader, 3);
  world.run(4_s);
  world.disconnected.clear();
  world.run(2_s);
  for (const auto& [address, engine] : world.engines) {
    cr_assert(knowsDrain(world, address));
    cr_assert_eq(engine->board().registry.position().era, 3);
  }
}

/// Guards against peers of an earlier era that confirm their view as fresh.
Test(store_eras, a_confirmation_of_an_earlier_era_confirms_nothing)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  world.load(first, 1);
  listNewEra(world, first, 2);
  const MilliTime listedAt = world.now;
  FleetMessage message = messageOfStranger("entry-9", "b");
  FleetHeartbeat heartbeat;
  heartbeat.view.targetsRevision = 6;
  heartbeat.view.targetsEra = 1;
  heartbeat.view.routesVersion = 1;
  heartbeat.view.targetsConfirmation = { 9, 1 };
  message.body = heartbeat;
  world.now = world.now + 900_ms;
  world.at(first).onFleetMessage(message, world.now);
  cr_assert(world.at(first).board().targetsConfirmedAt == listedAt);
}

Test(store_eras, an_answer_of_an_earlier_era_is_not_believed)
{
  EngineFixture world;
  cr_assert(world.engine.onStoreEra({}) == std::optional<StoreEra>(0));
  cr_assert(world.engine.onStoreEra(2) == std::optional<StoreEra>(2));
  cr_assert_not(world.engine.onStoreEra(1).has_value());
  cr_assert(world.engine.onStoreEra({}) == std::optional<StoreEra>(2));
  cr_assert_eq(world.engine.board().counters.outdatedAnswers, 1);
}

/// Guards against a refused difference of routes that raises the position: the
/// watch of the routes then began behind a version that was never applied.
Test(positions, a_refused_difference_of_routes_raises_no_position)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  world.load(first, 5);
  RouteIndex peer;
  peer.apply(twoRoutes(3));
  peer.apply(twoRoutes(9));
  ViewUpdate update;
  update.view.routesVersion = 9;
  update.view.routesRevision = 50;
  update.view.routesEra = 0;
  update.routes = peer.changesSince(3);
  FleetMessage message;
  message.sender.id = "entry-9";
  message.sender.address = *parseEndpoint("127.0.0.1:9");
  for (ViewPart& part :
       splitWindow(encodeViewUpdate(update), ViewContent::routes, 1, 0)) {
    message.body = part;
    world.at(first).onFleetMessage(message, world.now);
  }
  const TagBlackboard& board = world.at(first).board();
  cr_assert_eq(board.routes.version(), 5);
  cr_assert(board.routesPosition == std::optional(positionAt(5)));
}

/// Guards against a position that a peer's heartbeat spreads to instances with
/// other routes than the peer's.
Test(positions, a_peer_with_other_routes_raises_no_position)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  world.load(first, 5);
  FleetMessage message = messageOfStranger("entry-9", "a");
  FleetHeartbeat heartbeat;
  heartbeat.view.routesVersion = 3;
  heartbeat.view.routesRevision = 50;
  heartbeat.view.routesEra = 0;
  message.body = heartbeat;
  world.at(first).onFleetMessage(message, world.now);
  const TagBlackboard& board = world.at(first).board();
  cr_assert(board.routesPosition == std::optional(positionAt(5)));
}

/// Guards against an instance of the version before, which names no eras and is
/// not understood while a fleet is rolled.
Test(store_eras, an_update_that_names_no_era_is_of_the_present_one)
{
  FleetWorld world;
  const Endpoint first = world.add("a", 1);
  world.load(first, 1);
  listNewEra(world, first, 2);
  ViewUpdate update;
  update.view.targetsRevision = 9;
  update.targetsBase = 7;
  update.targets = { drained(4, 9) };
  FleetMessage message;
  message.sender.id = "entry-9";
  message.sender.address = *parseEndpoint("127.0.0.1:9");
  for (ViewPart& part :
       splitWindow(encodeViewUpdate(update), ViewContent::targets, 1, 0)) {
    message.body = part;
    world.at(first).onFleetMessage(message, world.now);
  }
  const TargetRegistry& registry = world.at(first).board().registry;
  cr_assert_not(registry.at(registry.find("t-4")).takesNewFlows());
  cr_assert(registry.position() == positionAt(9, 2));
}

/// Guards against a herd: a store that comes back from a copy must not be
/// listed by each instance of the fleet.
Test(store_eras, one_listing_of_a_new_era_serves_the_fleet)
{
  constexpr std::uint64_t kTargets = 600;
  FleetWorld world;
  world.delay = 5_ms;
  world.addInThreeZones(150);
  std::vector<TargetChange> targets;
  for (std::uint64_t i = 1; i <= kTargets; ++i) {
    targets.push_back(listed(i, i));
  }
  const Endpoint first = FleetWorld::addressOf(1);
  listTargets(world.at(first), kTargets, targets, world.now);
  publishRoutes(world.at(first), twoRoutes(1), world.now);
  const auto runConfirmed = [&world](MilliDuration span,
                                     const auto& isCurrent) {
    std::size_t readers = 0;
    for (const MilliTime end = world.now + span; world.now < end;) {
      world.run(200_ms);
      std::size_t reading = 0;
      for (auto& [address, engine] : world.engines) {
        if (engine->shouldReadStore(world.now)) {
          ++reading;
          if (isCurrent(*engine)) {
            confirmView(*engine, world.now);
          }
        }
      }
      readers = std::max(readers, reading);
    }
    return readers;
  };
  runConfirmed(10_s, [](const TagEngine&) { return true; });
  Endpoint reader;
  for (auto& [address, engine] : world.engines) {
    if (engine->shouldReadStore(world.now)) {
      reader = address;
    }
  }
  for (TargetChange& change : targets) {
    change.version.era = 1;
  }
  world.at(reader).onStoreEra(1);
  world.at(reader).onTargetListing(
    { positionAt(kTargets, 1), targets }, world.now, world.now);
  const std::size_t readers = runConfirmed(4_s, [](const TagEngine& engine) {
    return engine.board().registry.position().era == 1;
  });
  for (const auto& [address, engine] : world.engines) {
    cr_assert_eq(engine->board().registry.position().era, 1);
  }
  cr_assert_leq(readers, 2, "%zu instances read the store", readers);
}
