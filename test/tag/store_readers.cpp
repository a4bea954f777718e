/// \file
/// \brief Tests of the decision which instances read the platform's store.

#include <Fleet>

#include <criterion/criterion.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;

namespace {

/// \brief An instance that has run for a long time and has a recent view.
StoreReaderSituation
withRecentView()
{
  StoreReaderSituation situation;
  situation.hasView = true;
  situation.sinceStart = 60_s;
  situation.targetsAge = 500_ms;
  situation.routesAge = 1500_ms;
  return situation;
}

}

Test(store_readers, with_a_recent_view_only_the_reader_reads)
{
  StoreReaderSituation situation = withRecentView();
  cr_assert_not(shouldReadStore(situation));
  situation.role = ReaderRole::standBy;
  cr_assert_not(shouldReadStore(situation));
  situation.role = ReaderRole::reader;
  cr_assert(shouldReadStore(situation));
}

Test(store_readers, a_stand_by_takes_over_when_confirmations_stop)
{
  StoreReaderSituation situation = withRecentView();
  situation.role = ReaderRole::standBy;
  situation.targetsAge = 1300_ms;
  cr_assert(shouldReadStore(situation));
  situation = withRecentView();
  situation.role = ReaderRole::standBy;
  situation.routesAge = 2300_ms;
  cr_assert(shouldReadStore(situation));
}

Test(store_readers, a_disconnected_zone_has_its_own_reader_after_2_s)
{
  StoreReaderSituation situation = withRecentView();
  situation.targetsAge = 2001_ms;
  cr_assert(shouldReadStore(situation));
}

/// Guards against a burst of calls to a failing store: a zone of 59 instances
/// that could not reach it called it about a hundred times.
Test(store_readers, a_failing_store_is_called_by_few_instances)
{
  std::size_t readers = 0;
  StoreReaderSituation situation = withRecentView();
  situation.targetsAge = 6_s;
  for (situation.rankInZone = 0; situation.rankInZone < 100;
       ++situation.rankInZone) {
    readers += shouldReadStore(situation) ? 1 : 0;
  }
  cr_assert_geq(readers, 3, "the store may refuse the first ones");
  cr_assert_leq(readers, 6);
}

Test(store_readers, an_instance_that_stays_behind_its_peers_reads)
{
  StoreReaderSituation situation = withRecentView();
  situation.behindFor = 1001_ms;
  cr_assert(shouldReadStore(situation));
}

/// Guards against a useless wait: after a power failure callers waited 40 ms
/// while instances asked peers that had no view either.
Test(store_readers, a_starting_process_with_a_fast_link_reads_at_once)
{
  StoreReaderSituation situation;
  Random random{ 1 };
  situation.initialReadDelay = initialReadDelay({ false, false, 1000 }, random);
  cr_assert(shouldReadStore(situation));
  situation.sinceOffered = 0_ms;
  cr_assert_not(shouldReadStore(situation), "a peer has a view");
}

Test(store_readers, a_starting_process_with_a_slow_link_asks_peers_first)
{
  StoreReaderSituation situation;
  Random random{ 1 };
  situation.initialReadDelay = initialReadDelay({ false, false, 20 }, random);
  cr_assert_not(shouldReadStore(situation));
  situation.sinceStart = 1000_ms;
  cr_assert(shouldReadStore(situation), "no peer has a view");
  situation.sinceOffered = 20_ms;
  cr_assert_not(shouldReadStore(situation));
}

Test(store_readers, a_starting_process_waits_for_a_peer_for_a_limited_time)
{
  StoreReaderSituation situation;
  situation.sinceStart = 700_ms;
  situation.sinceOffered = 600_ms;
  cr_assert(shouldReadStore(situation));
  situation.isFetching = true;
  cr_assert_not(shouldReadStore(situation));
  situation.sinceOffered = 4_s;
  cr_assert(shouldReadStore(situation));
}

/// Guards against all instances reading the store at once when they start
/// within a third of a second and none has a view.
Test(store_readers, at_the_first_start_few_instances_read_at_once)
{
  constexpr int kInstances = 300;
  Random random{ 1 };
  int early = 0;
  for (int i = 0; i < kInstances; ++i) {
    const MilliDuration wait = initialReadDelay({ true, false, 20 }, random);
    cr_assert_leq(wait.ms, 2100);
    early += wait < 400_ms ? 1 : 0;
  }
  cr_assert_leq(early, kInstances / 4);
  cr_assert_leq(initialReadDelay({ true, true, 20 }, random).ms, 100);
}

/// Guards against congestion of the store's link: after a power failure 295
/// instances read 590 KB each and waited 1.3 s for it.
Test(store_readers, after_a_power_failure_instances_with_fast_links_read_first)
{
  constexpr int kInstances = 300;
  Random random{ 1 };
  const MilliDuration soonest = initialReadDelay({ false, false, 200 }, random);
  int early = 0;
  for (int i = 0; i < kInstances; ++i) {
    const MilliDuration wait = initialReadDelay({ false, false, 20 }, random);
    cr_assert_leq(wait.ms, 1100);
    early += wait < soonest + 100_ms ? 1 : 0;
  }
  cr_assert_leq(early, kInstances / 4);
  cr_assert_leq(soonest.ms, 100);
  cr_assert_leq(initialReadDelay({ false, false, 2 }, random).ms, 150);
}
