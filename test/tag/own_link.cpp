/// \file
/// \brief Tests of an instance whose own link is full for a while.

#include "OwnLinkCallers.h"

#include <criterion/criterion.h>

#include <array>
#include <iostream>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr MilliDuration kPlay = 60_s;
constexpr std::size_t kReceivers = 4;
constexpr std::size_t kCallers = 36;
constexpr std::uint64_t kFewTargets = 6;
/// \brief Of few targets all may look silent at once, of many some never do.
constexpr std::array<std::uint64_t, 3> kTargetCounts{ kFewTargets, 24, 60 };
constexpr std::size_t kStoreAnswerBytes = 350000;

/// \brief The process stands still for up to 300 ms now and then.
void
stallAtRandom(OwnLinkWorld& world)
{
  world.events.after(1_s + world.anyOf(4000), [&world] {
    world.stall(world.anyOf(300));
    stallAtRandom(world);
  });
}

/// \brief Up to 0.8 s of the link's bytes, one way, now and then.
void
burstAtRandom(OwnLinkWorld& world)
{
  world.events.after(world.anyOf(1500), [&world] {
    const std::size_t bytes = world.random.below(200000);
    if (world.random.below(2) == 0) {
      world.burstOut(bytes);
    } else {
      world.burstIn(bytes);
    }
    burstAtRandom(world);
  });
}

/// \brief An instance is started anew now and then, and fetches the view.
void
restartAtRandom(OwnLinkWorld& world, std::size_t index)
{
  world.events.after(2_s + world.anyOf(12000), [&world, index] {
    world.fleet.restart(index);
    restartAtRandom(world, index);
  });
}

void
passOnViews(OwnLinkWorld& world)
{
  for (std::size_t i = 0; i < kReceivers; ++i) {
    world.events.after(world.anyOf(8000),
                       [&world] { restartAtRandom(world, world.fleet.add()); });
  }
}

/// \brief The routes change again and again; each time they are read anew.
void
readStoreAtRandom(OwnLinkWorld& world)
{
  world.events.after(world.anyOf(500), [&world] {
    world.readStore(kStoreAnswerBytes, [&world] { readStoreAtRandom(world); });
  });
}

/// \brief Each has a connection of its own to the store.
void
readRoutesAndTargets(OwnLinkWorld& world)
{
  readStoreAtRandom(world);
  readStoreAtRandom(world);
}

/// \returns how many flows of living targets were reset in all plays; prints
/// the situations of some.
template<typename Disturb>
std::size_t
countWronglyReset(Disturb disturb)
{
  std::size_t count = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OwnLinkWorld world(seed, kTargetCounts[seed % kTargetCounts.size()]);
    const OwnLinkCallers callers(world, kCallers);
    stallAtRandom(world);
    disturb(world);
    world.run(kPlay);
    count += world.wronglyReset.size();
    if (!world.reports.empty()) {
      std::cerr << "seed " << seed << ": " << world.wronglyReset.size()
                << " flows, the first of " << world.reports.front() << "\n";
    }
  }
  return count;
}

/// \returns the longest time from a crash until it is found.
template<typename Disturb>
MilliDuration
longestUntilFoundDead(Disturb disturb)
{
  MilliDuration longest{};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OwnLinkWorld world(seed, kFewTargets);
    const OwnLinkCallers callers(world, kCallers);
    disturb(world);
    world.run(10_s + world.anyOf(1000));
    const std::uint64_t number = world.busiestTarget();
    const MilliTime crashedAt = world.events.now;
    world.crash(number);
    world.run(10_s);
    const auto found = world.foundDeadAt.find("t-" + std::to_string(number));
    const MilliTime until =
      found == world.foundDeadAt.end() ? world.events.now : found->second;
    longest = std::max(longest, until - crashedAt);
  }
  std::cerr << "found dead within " << longest.ms << " ms\n";
  return longest;
}

}

Test(own_link, a_queue_that_comes_and_goes_makes_no_living_target_dead)
{
  cr_assert_eq(countWronglyReset(burstAtRandom), 0);
}

Test(own_link, passing_on_a_large_view_resets_no_open_flow)
{
  cr_assert_eq(countWronglyReset(passOnViews), 0);
}

Test(own_link, an_answer_of_the_store_that_fills_the_link_resets_no_open_flow)
{
  cr_assert_eq(countWronglyReset(readRoutesAndTargets), 0);
}

Test(own_link, a_target_that_falls_silent_is_found_dead_beside_a_calm_link)
{
  cr_assert(longestUntilFoundDead([](OwnLinkWorld&) {}) <= 1_s);
}

Test(own_link, a_target_that_falls_silent_is_found_dead_beside_a_busy_link)
{
  cr_assert(longestUntilFoundDead(burstAtRandom) <= 3_s);
}

Test(own_link, a_target_that_falls_silent_is_found_dead_while_views_are_sent)
{
  cr_assert(longestUntilFoundDead(passOnViews) <= 3_s);
}
