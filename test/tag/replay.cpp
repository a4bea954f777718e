/// \file
/// \brief Replays of load patterns. Each compares a policy with the same engine
/// without it, so it fails when the policy is taken out.

#include "LoadReplay.h"

#include <criterion/criterion.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr std::uint64_t kSeeds = 10;

/// \returns the sums over all seeds, and the mean imbalance.
LoadResult
replay(LoadPattern pattern, TagPolicySettings policy)
{
  LoadResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    pattern.seed = seed;
    const LoadResult result = LoadReplay(pattern, policy).run();
    sum.asked += result.asked;
    sum.inTime += result.inTime;
    sum.late += result.late;
    sum.failed += result.failed;
    sum.shed += result.shed;
    sum.inTimeAfterOutage += result.inTimeAfterOutage;
    sum.imbalance += result.imbalance / kSeeds;
  }
  cr_log_info("asked %d in time %d late %d failed %d shed %d after outage %d "
              "imbalance %.3f",
              sum.asked,
              sum.inTime,
              sum.late,
              sum.failed,
              sum.shed,
              sum.inTimeAfterOutage,
              sum.imbalance);
  return sum;
}

}

Test(replay, steady_load_is_served_in_time_and_evenly)
{
  const LoadPattern pattern;
  const LoadResult byLoad = replay(pattern, {});
  const LoadResult byHash = replay(pattern, { .byLoad = false });
  cr_assert_eq(byLoad.failed, 0);
  cr_assert_geq(byLoad.inTime, byLoad.asked * 99 / 100 - 20);
  cr_assert_lt(byLoad.imbalance - 1, (byHash.imbalance - 1) / 2);
}

/// himalflow trouble-2: 229 of 281 failures stood around such a crash.
Test(replay, a_silent_crash_costs_no_request_its_deadline)
{
  LoadPattern pattern;
  pattern.crashAt = 4_s;
  const LoadResult found = replay(pattern, {});
  const LoadResult naive = replay(pattern, { .findsSilent = false });
  cr_assert_gt(naive.failed, 20);
  cr_assert_leq(found.failed, naive.failed / 10);
}

/// bellroutes scale-2: 472 answers of full targets after the restart.
Test(replay, paced_openings_after_an_outage_are_hardly_shed)
{
  LoadPattern pattern;
  pattern.callers = 230;
  pattern.outageAt = 4_s;
  pattern.outageFor = 1400_ms;
  const LoadResult paced = replay(pattern, {});
  const LoadResult naive = replay(pattern, { .paced = false });
  cr_assert_gt(naive.shed, 20);
  cr_assert_leq(paced.shed, naive.shed / 2);
  cr_assert_geq(paced.inTimeAfterOutage, naive.inTimeAfterOutage);
  cr_assert_leq(paced.failed, naive.failed);
}
