/// \file
/// \brief Tests of the limits of new flows to cold targets: shares of the
/// allowance, and what all instances place in any second while members join,
/// fail, pause and are separated.

#include "SlowStartFleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \returns members with random keys in \a zones zones.
std::vector<ActiveMember>
randomMembers(Random& random, std::size_t count, std::size_t zones)
{
  std::vector<ActiveMember> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({ random.next(), random.below(zones) });
  }
  return members;
}

/// \returns the view of the member at an index.
ActiveMembers
viewOf(const std::vector<ActiveMember>& members, std::size_t index)
{
  ActiveMembers view;
  view.own = members[index];
  view.isOwnActive = true;
  view.peers = members;
  view.peers.erase(view.peers.begin() + static_cast<std::ptrdiff_t>(index));
  return view;
}

}

/// Cold targets of a fleet whose instances see the same members.
Test(slow_start, equal_views_share_out_exactly_half_of_the_allowance)
{
  const bool holds = rc::check("shares", [](std::uint64_t seed) {
    Random random{ seed };
    const auto members = randomMembers(random, 1 + random.below(70), 4);
    // Zone 4 has no members, so that the fleet serves its targets.
    const ColdTarget target{ TargetKey{ random.next() },
                             random.below(5),
                             random.unit() * 60 };
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
      sum += slowStartShare(viewOf(members, i), target);
    }
    RC_ASSERT(sum == static_cast<std::uint32_t>(target.allowance / 2));
  });
  cr_assert(holds);
}

/// Cold targets of a service with a very low rate: no single flow can be shared
/// out safely.
Test(slow_start, an_allowance_below_two_gives_no_instance_a_flow)
{
  cr_assert_eq(sharedFlows(0), 0);
  cr_assert_eq(sharedFlows(1.9), 0);
  cr_assert_eq(sharedFlows(2), 1);
  cr_assert_eq(sharedFlows(13.9), 6);
  cr_assert_eq(sharedFlows(1e300), 1'000'000);
}

/// Cold targets while instances join, crash, pause, stop and can't reach each
/// other, and learn of it up to 3 s late; each instance has flows without end.
Test(slow_start, all_instances_together_keep_the_allowance_of_any_second)
{
  const bool holds = rc::check("allowance", [](std::uint64_t seed) {
    SlowStartFleet fleet(seed, SlowStartFaults::all);
    fleet.run(60_s);
    for (const auto& [target, busiest] : fleet.busiestSeconds()) {
      RC_ASSERT(busiest <= target.allowance);
    }
  });
  cr_assert(holds);
}

/// Like the test before, but every two live instances can reach each other: the
/// half of the allowance that is kept for separated instances is not used.
Test(slow_start, without_a_separation_half_of_the_allowance_is_kept)
{
  const bool holds = rc::check("half", [](std::uint64_t seed) {
    SlowStartFleet fleet(seed, SlowStartFaults::ofInstances);
    fleet.run(60_s);
    for (const auto& [target, busiest] : fleet.busiestSeconds()) {
      RC_ASSERT(busiest <= sharedFlows(target.allowance));
    }
  });
  cr_assert(holds);
}

/// Cold targets of a fleet without faults: its callers can use what is shared
/// out.
Test(slow_start, settled_instances_place_half_of_the_allowance)
{
  const bool holds = rc::check("use", [](std::uint64_t seed) {
    SlowStartFleet fleet(seed, SlowStartFaults::none);
    fleet.run(20_s);
    // The window of each instance is a little longer than a second.
    for (std::size_t i = 0; i < SlowStartFleet::kTargets; ++i) {
      RC_ASSERT(fleet.countLast(i, 10_s) >=
                8 * sharedFlows(fleet.target(i).allowance));
    }
  });
  cr_assert(holds);
}

namespace {

constexpr MilliTime kStart{ 100000 };
constexpr ColdTarget kTarget{ TargetKey{ 5 }, 1, 12 };

/// \brief One limiter that is updated every 100 ms.
struct Limited
{
  SlowStartLimiter limiter;
  ActiveMembers members;
  MilliTime now = kStart;

  Limited()
  {
    this->members.own = { 7, 1 };
    this->members.isOwnActive = true;
  }

  void run(MilliDuration span)
  {
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->now = this->now + 100_ms;
      this->limiter.update(this->members, std::span(&kTarget, 1), this->now);
    }
  }

  bool mayPlace() const
  {
    return this->limiter.mayPlace(kTarget.key, this->now);
  }
};

}

/// Cold targets when an instance freezes: others may have its share by then.
Test(slow_start, a_paused_instance_has_no_share_until_it_has_seen_the_members)
{
  Limited instance;
  instance.run(5200_ms);
  cr_assert(instance.mayPlace());
  instance.now = instance.now + 1100_ms;
  cr_assert_not(instance.mayPlace(), "before the first tick");
  instance.run(4800_ms);
  cr_assert_not(instance.mayPlace());
  instance.run(400_ms);
  cr_assert(instance.mayPlace());
}

/// Cold targets when most instances are gone, or out of reach.
Test(slow_start, an_instance_that_sees_less_than_half_of_the_fleet_has_no_share)
{
  Limited instance;
  instance.members.peers = { { 1, 2 }, { 2, 2 }, { 3, 2 } };
  instance.run(5200_ms);
  cr_assert(instance.mayPlace());
  instance.members.peers.pop_back();
  instance.members.peers.pop_back();
  instance.run(100_ms);
  cr_assert(instance.mayPlace());
  instance.members.peers.pop_back();
  instance.run(100_ms);
  cr_assert_not(instance.mayPlace());
  instance.run(290_s);
  cr_assert_not(instance.mayPlace());
  instance.run(20_s);
  cr_assert(instance.mayPlace(), "a smaller fleet");
}

/// Cold targets right after a start without any other instance in reach.
Test(slow_start, an_instance_that_expects_peers_has_no_share_without_one)
{
  Limited instance;
  instance.members.expectsPeers = true;
  instance.run(20_s);
  cr_assert_not(instance.mayPlace());
}

/// Cold targets that are listed while the members have long been the same.
Test(slow_start, a_new_cold_target_gets_flows_at_once)
{
  Limited instance;
  instance.run(5200_ms);
  const ColdTarget other{ TargetKey{ 6 }, 1, 12 };
  instance.limiter.update(instance.members, std::span(&other, 1), instance.now);
  cr_assert(instance.limiter.mayPlace(other.key, instance.now));
}
