/// \file
/// \brief Tests of the operator's configurations from the store's key to the
/// routes of a fleet, in virtual time.

#include "StoreFleet.h"

#include <platform/StoreItems.h>
#include <standin/StoreEntries.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief Longest time until a configuration takes effect.
constexpr MilliDuration kApplyLimit{ 3000 };

/// \brief Eight instances in three zones, which hold version 7.
struct ConfiguredFleet : StoreFleet
{
  ConfiguredFleet()
  {
    this->delay = 5_ms;
    this->publish(7);
    for (std::uint16_t port = 1; port <= 8; ++port) {
      this->start(port);
    }
    this->advance(6_s);
  }

  void publish(std::uint64_t version)
  {
    this->store.put(std::string(platform::kRoutesKey),
                    bookingConfiguration(version));
  }

  /// \brief Advances the time until an instance holds a version.
  /// \returns the instance
  Endpoint awaitReader(std::uint64_t version)
  {
    for (const MilliTime end = this->now + kApplyLimit; this->now < end;) {
      this->advance(10_ms);
      for (const auto& [address, engine] : this->engines) {
        if (engine->board().routes.version() == version) {
          return address;
        }
      }
    }
    cr_assert_fail("nobody has read the configuration");
    return {};
  }

  /// \brief Lets an instance lose power. Messages that it has sent arrive.
  void lose(const Endpoint& instance)
  {
    this->disconnected[instance] = true;
    this->cutFromStore.insert(instance);
  }

  std::size_t countHolding(std::uint64_t version) const
  {
    std::size_t count = 0;
    for (const auto& [address, engine] : this->engines) {
      count += engine->board().routes.version() == version ? 1 : 0;
    }
    return count;
  }
};

platform::StoreItem
configurationItem(std::uint64_t version, std::uint64_t revision)
{
  return { std::string(platform::kRoutesKey),
           bookingConfiguration(version),
           revision,
           revision,
           false };
}

}

/// Guards against a fleet that stays on an intermediate configuration for good:
/// a reader sent the first of two configurations with the position of the last
/// one, and lost power before it sent the last one.
Test(configurations, a_reader_that_is_lost_after_two_in_one_answer_leaves_none)
{
  ConfiguredFleet fleet;
  fleet.publish(10);
  fleet.publish(13);
  const Endpoint reader = fleet.awaitReader(13);
  fleet.run(5_ms);
  fleet.lose(reader);
  fleet.advance(kApplyLimit);
  cr_assert_eq(fleet.countHolding(13), fleet.engines.size());
}

/// Guards against the position of a whole answer beside the routes of its first
/// configuration, which tells peers that nothing newer is to be read.
Test(configurations, a_position_is_sent_only_with_the_routes_that_it_covers)
{
  ConfiguredFleet fleet;
  const std::uint64_t before = fleet.store.revision();
  fleet.publish(10);
  fleet.publish(11);
  fleet.publish(13);
  fleet.awaitReader(13);
  for (int step = 0; step < 100; ++step) {
    fleet.run(5_ms);
    for (const auto& [address, engine] : fleet.engines) {
      const TagBlackboard& board = engine->board();
      const std::uint64_t revision = board.routesPosition->revision;
      cr_assert_eq(board.routes.version(), revision <= before ? 7 : 13);
    }
  }
}

/// Guards against changes that are never read again, because a configuration
/// before an unreadable one raised the position to that of the whole answer.
Test(configurations, an_unreadable_one_leaves_the_position_as_it_was)
{
  ConfiguredFleet fleet;
  TagEngine& engine = fleet.at(FleetWorld::addressOf(1));
  const auto hooks = platform::operatorCursorHooks(
    { engine, [&fleet] { return fleet.now; }, [] {} }, [] {});
  const StorePosition base = *engine.board().operatorPosition();
  const StorePosition asOf{ base.era, base.revision + 2 };
  platform::StoreItem unreadable = configurationItem(13, asOf.revision);
  unreadable.value = "{";
  const std::vector<platform::StoreItem> items{
    configurationItem(10, base.revision + 1), unreadable
  };
  const MilliTime confirmedAt = engine.board().routesConfirmedAt;
  cr_assert_not(hooks.onChanges({ base, asOf, items, fleet.now }));
  cr_assert_eq(engine.board().routes.version(), 10);
  cr_assert(engine.board().operatorPosition() == std::optional(base));
  cr_assert(engine.board().routesConfirmedAt == confirmedAt);
}

/// Guards against a route that is lost although the last configuration of an
/// answer has restored it.
Test(configurations, a_route_dropped_and_restored_in_one_answer_stays)
{
  ConfiguredFleet fleet;
  fleet.store.put(std::string(platform::kRoutesKey),
                  standin::formatConfiguration(10, {}, { "booking" }));
  fleet.publish(13);
  fleet.advance(kApplyLimit);
  const Endpoint destination = *parseEndpoint("203.0.113.1:443");
  for (const auto& [address, engine] : fleet.engines) {
    cr_assert_not_null(engine->board().routes.find(destination));
  }
}
