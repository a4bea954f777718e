/// \file
/// \brief Tests of an instance whose own link is congested. They guard against
/// live targets that are found dead because answers to probes are delayed, and
/// against crashed targets that are found late.

#include "OwnLinkCallers.h"

#include <criterion/criterion.h>

#include <array>
#include <iostream>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr MilliDuration kRunTime = 60_s;
constexpr std::size_t kReceivers = 4;
constexpr std::size_t kCallers = 36;
constexpr std::uint64_t kFewTargets = 6;
/// \brief With few targets all may seem silent at once; with many, some always
/// answer.
constexpr std::array<std::uint64_t, 3> kTargetCounts{ kFewTargets, 24, 60 };
constexpr std::size_t kStoreAnswerBytes = 350000;

/// \brief Suspends the process for up to 300 ms at random times.
void
stallAtRandom(OwnLinkWorld& world)
{
  world.events.after(1_s + world.randomUpTo(4000), [&world] {
    world.stall(world.randomUpTo(300));
    stallAtRandom(world);
  });
}

/// \brief Fills one direction of the link for up to 0.8 s at random times.
void
burstAtRandom(OwnLinkWorld& world)
{
  world.events.after(world.randomUpTo(1500), [&world] {
    const std::size_t bytes = world.random.below(200000);
    if (world.random.below(2) == 0) {
      world.burstOut(bytes);
    } else {
      world.burstIn(bytes);
    }
    burstAtRandom(world);
  });
}

/// \brief Restarts an instance at random times; it fetches the view each time.
void
restartAtRandom(OwnLinkWorld& world, std::size_t index)
{
  world.events.after(2_s + world.randomUpTo(12000), [&world, index] {
    world.fleet.restart(index);
    restartAtRandom(world, index);
  });
}

/// \brief Adds instances that fetch views from the first one at random times.
void
serveViewsAtRandom(OwnLinkWorld& world)
{
  for (std::size_t i = 0; i < kReceivers; ++i) {
    world.events.after(world.randomUpTo(8000),
                       [&world] { restartAtRandom(world, world.fleet.add()); });
  }
}

/// \brief Reads the routes from the store again and again, after random pauses.
void
readStoreAtRandom(OwnLinkWorld& world)
{
  world.events.after(world.randomUpTo(500), [&world] {
    world.readStore(kStoreAnswerBytes, [&world] { readStoreAtRandom(world); });
  });
}

/// \brief Reads routes and targets in parallel over one connection each.
void
readRoutesAndTargets(OwnLinkWorld& world)
{
  readStoreAtRandom(world);
  readStoreAtRandom(world);
}

/// \returns the number of flows of live targets that were reset in the runs of
/// all seeds. Prints one description per seed with such resets.
template<typename Disturb>
std::size_t
countWronglyResetFlows(Disturb disturb)
{
  std::size_t count = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OwnLinkWorld world(seed, kTargetCounts[seed % kTargetCounts.size()]);
    const OwnLinkCallers callers(world, kCallers);
    stallAtRandom(world);
    disturb(world);
    world.run(kRunTime);
    count += world.wronglyResetFlows.size();
    if (!world.reports.empty()) {
      std::cerr << "seed " << seed << ": " << world.wronglyResetFlows.size()
                << " flows, the first of " << world.reports.front() << "\n";
    }
  }
  return count;
}

/// \returns the longest time over all seeds between the crash of a target and
/// its detection; 10 s if it is not detected.
template<typename Disturb>
MilliDuration
longestDetectionTime(Disturb disturb)
{
  MilliDuration longest{};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OwnLinkWorld world(seed, kFewTargets);
    const OwnLinkCallers callers(world, kCallers);
    disturb(world);
    world.run(10_s + world.randomUpTo(1000));
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

Test(own_link, bursts_on_the_link_reset_no_open_flow)
{
  cr_assert_eq(countWronglyResetFlows(burstAtRandom), 0);
}

Test(own_link, sending_large_views_to_peers_resets_no_open_flow)
{
  cr_assert_eq(countWronglyResetFlows(serveViewsAtRandom), 0);
}

Test(own_link, store_answers_that_fill_the_link_reset_no_open_flow)
{
  cr_assert_eq(countWronglyResetFlows(readRoutesAndTargets), 0);
}

Test(own_link, a_target_that_falls_silent_is_found_dead_with_an_idle_link)
{
  cr_assert(longestDetectionTime([](OwnLinkWorld&) {}) <= 1_s);
}

Test(own_link, a_target_that_falls_silent_is_found_dead_beside_a_busy_link)
{
  cr_assert(longestDetectionTime(burstAtRandom) <= 3_s);
}

Test(own_link, a_target_that_falls_silent_is_found_dead_while_views_are_sent)
{
  cr_assert(longestDetectionTime(serveViewsAtRandom) <= 3_s);
}
