/// \file
/// \brief Tests of the operator's evacuations from the store's keys to the
/// placement of flows, in virtual time.

#include "StoreFleet.h"

#include <platform/StoreItems.h>
#include <standin/StoreEntries.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

const std::string kZoneA = "op/evacuate/a";

/// \brief Six instances in three zones, which read a store with one service
/// that has targets in each zone.
struct EvacuatedFleet : StoreFleet
{
  EvacuatedFleet()
  {
    this->store.put(std::string(platform::kRoutesKey), bookingConfiguration(1));
    for (int i = 1; i <= 3; ++i) {
      const std::string zone(1, "abc"[i - 1]);
      this->store.put("servers/i-" + std::to_string(i),
                      R"({"service":"booking","address":"10.0.0.)" +
                        std::to_string(i) + R"(:80","zone":")" + zone +
                        R"(","version":"v1","slots":3,"state":"ready",)" +
                        R"("warmup_left_ms":0,"seq":1})");
    }
    for (std::uint16_t port = 1; port <= 6; ++port) {
      this->start(port);
    }
    this->advance(6_s);
  }

  /// \returns the number of instances that send new flows to zone a.
  std::size_t placingInZoneA()
  {
    std::size_t count = 0;
    for (auto& [address, engine] : this->engines) {
      count += engine->board().pools.isEvacuated("a") ? 0 : 1;
    }
    return count;
  }
};

}

Test(evacuation, keys_are_decoded_whatever_their_value)
{
  const auto parse = [](const std::string& key, bool isDeleted = false) {
    return platform::parseEvacuation({ key, "\x01junk", 7, 7, isDeleted }, 2);
  };
  const auto written = parse("op/evacuate/ktm-a");
  cr_assert_eq(written->zone, "ktm-a");
  cr_assert(written->version == ChangeVersion({ 2, 7 }));
  cr_assert_not(written->isWithdrawn);
  cr_assert(parse("op/evacuate/ktm-a", true)->isWithdrawn);
  cr_assert_eq(parse("op/evacuate/a/b")->zone, "a/b");
  cr_assert_not(parse("op/evacuate/").has_value());
  cr_assert_not(parse("op/evacuate/" + std::string(kMaxZoneNameBytes + 1, 'z'))
                  .has_value());
}

Test(evacuation, is_in_force_within_2_s_and_withdrawn_as_fast)
{
  EvacuatedFleet fleet;
  for (int round = 0; round < 2; ++round) {
    fleet.store.put(kZoneA, "");
    fleet.advance(2_s);
    cr_assert_eq(fleet.placingInZoneA(), 0);
    // Written again, it stays in force.
    fleet.store.put(kZoneA, "again");
    fleet.advance(1_s);
    cr_assert_eq(fleet.placingInZoneA(), 0);
    fleet.store.remove(kZoneA);
    fleet.advance(2_s);
    cr_assert_eq(fleet.placingInZoneA(), 6);
  }
}

/// Guards against an evacuation that never ends, because its removal is in a
/// history that the store has dropped.
Test(evacuation, ends_although_its_removal_was_lost_with_the_history)
{
  EvacuatedFleet fleet;
  fleet.store.put(kZoneA, "");
  fleet.advance(2_s);
  fleet.isStoreAway = true;
  fleet.store.remove(kZoneA);
  fleet.store.dropHistory();
  fleet.advance(1_s);
  cr_assert_eq(fleet.placingInZoneA(), 0);
  fleet.isStoreAway = false;
  fleet.advance(3_s);
  cr_assert_eq(fleet.placingInZoneA(), 6);
}

Test(evacuation, survives_an_older_copy_of_the_store_for_a_limited_time)
{
  EvacuatedFleet fleet;
  const auto copy = fleet.store.copy();
  fleet.store.put(kZoneA, "");
  fleet.advance(2_s);
  fleet.restoreStore(copy);
  fleet.advance(8_s);
  cr_assert_eq(fleet.placingInZoneA(), 0);
  fleet.advance(6_s);
  cr_assert_eq(fleet.placingInZoneA(), 6);
  // Written again in the new era, it lasts.
  fleet.store.put(kZoneA, "");
  fleet.advance(15_s);
  cr_assert_eq(fleet.placingInZoneA(), 0);
}

/// Load: the store refuses all instances but one, and serves the operator.
Test(evacuation, reaches_instances_that_are_cut_off_from_the_store)
{
  EvacuatedFleet fleet;
  for (std::uint16_t port = 2; port <= 6; ++port) {
    fleet.cutFromStore.insert(FleetWorld::addressOf(port));
  }
  fleet.advance(5_s);
  fleet.store.put(kZoneA, "");
  fleet.advance(4_s);
  cr_assert_eq(fleet.placingInZoneA(), 0);
}

/// Guards against other keys of the operator that stop the configuration or the
/// evacuations: all are read by one watch.
Test(evacuation, odd_keys_are_ignored_and_logged_once)
{
  EvacuatedFleet fleet;
  TagEngine& engine = fleet.at(FleetWorld::addressOf(1));
  const platform::StoreInput input{ engine,
                                    [&fleet] { return fleet.now; },
                                    [] {} };
  const auto hooks = platform::operatorCursorHooks(input, [] {});
  const std::vector<platform::StoreItem> items{
    { "op/config", "no configuration", 90, 90, false },
    { "op/evacuate/", "", 91, 91, false },
    { "op/evacuate/b", "", 92, 92, false },
    { "op/evacuated", "", 93, 93, false },
    { "op/zone/c", "", 94, 94, false }
  };
  const StorePosition asOf = positionAt(95, engine.board().knownEra());
  engine.takeEvents();
  for (int round = 0; round < 2; ++round) {
    cr_assert_not(hooks.onListing({ asOf, items, fleet.now }),
                  "the configuration could not be decoded");
  }
  std::size_t ignored = 0;
  for (const TagEvent& event : engine.takeEvents()) {
    ignored += event.kind == TagEventKind::entryIgnored ? 1 : 0;
  }
  cr_assert_eq(ignored, 1);
  cr_assert_eq(engine.board().counters.ignoredEntries, 1);
  cr_assert_eq(engine.board().evacuations.zones().size(), 1);
  cr_assert(engine.board().pools.isEvacuated("b"));
  cr_assert_lt(engine.board().operatorPosition()->revision, 95);
}
