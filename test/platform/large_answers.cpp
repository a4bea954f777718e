/// \file
/// \brief Tests of answers to a watch that can't be used: larger than this
/// program takes, cut off, or not JSON. A listing has pages, so it is read
/// instead.

#include "Loopback.h"

#include <platform/StoreCursor.h>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief Longest time until a drain or a configuration takes effect.
constexpr std::chrono::milliseconds kApplyLimit{ 3000 };
constexpr std::size_t kLargeBytes = 1000000;
/// \brief Together more than one answer may have.
constexpr int kLargeWrites = 8;

/// \returns hooks of a cursor whose owner holds a position.
StoreCursorHooks
hooksAt(const StorePosition& position)
{
  StoreCursorHooks hooks;
  hooks.position = [position] { return std::optional(position); };
  hooks.newestEra = [] { return StoreEra{ 0 }; };
  hooks.onListing = [](const StoreListing&) { return true; };
  hooks.onChanges = [](const StoreChanges&) { return true; };
  hooks.onEra = [](std::optional<StoreEra>) { return std::optional(0); };
  return hooks;
}

/// \returns a cursor that has listed its prefix and watches it.
StoreCursor
watchingCursor()
{
  StoreCursor cursor("servers/", 1_s, hooksAt({ 0, 7 }));
  cursor.next({});
  cursor.onReply({ 200, R"({"items":[],"has_more":false,"as_of":7})", {} });
  cr_assert(cursor.next({}).isWatch);
  return cursor;
}

}

/// Guards against a drain that nobody sees because another writer's entries
/// made the answer to each watch too large.
Test(large_answers, unreadable_entries_do_not_hide_a_drain)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  for (int i = 0; i < kLargeWrites; ++i) {
    loopback.store.put("servers/x-" + std::to_string(i),
                       std::string(kLargeBytes, '\xff'));
  }
  loopback.registerTarget("i-00000001", "draining");
  loopback.context.run_for(kApplyLimit);
  loopback.context.restart();
  cr_assert_eq(loopback.status(server).find("\"takes_new_flows\":true"),
               std::string::npos);
}

/// Guards against a fleet that keeps an old configuration because more was
/// written since than one answer may have.
Test(large_answers, configurations_in_quick_succession_take_effect)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  const std::string padding(kLargeBytes, ' ');
  for (int version = 10; version < 10 + kLargeWrites; ++version) {
    loopback.store.put("op/config",
                       R"({"version":)" + std::to_string(version) + padding +
                         R"(,"routes":[],"services":[]})");
  }
  loopback.context.run_for(kApplyLimit);
  loopback.context.restart();
  cr_assert_neq(loopback.status(server).find("\"routes_version\":17"),
                std::string::npos);
}

Test(large_answers, a_watch_whose_answer_is_not_json_is_followed_by_a_listing)
{
  StoreCursor cursor = watchingCursor();
  cr_assert(cursor.onReply({ 200, R"({"events":[)", {} }).kind ==
            StoreOutcome::Kind::failed);
  cr_assert_not(cursor.next({}).isWatch);
}

/// Guards against a watch that is repeated for ever although its answer never
/// arrives in full.
Test(large_answers, a_watch_that_is_cut_off_twice_is_followed_by_a_listing)
{
  StoreCursor cursor = watchingCursor();
  cursor.onReplyLost(StoreReplyLoss::unanswered);
  cr_assert(cursor.next({}).isWatch);
  cursor.onReplyLost(StoreReplyLoss::cutOff);
  cr_assert(cursor.next({}).isWatch, "one may be lost with its connection");
  cursor.onReplyLost(StoreReplyLoss::cutOff);
  cr_assert_not(cursor.next({}).isWatch);
  cursor.onReply({ 200, R"({"items":[],"has_more":false,"as_of":9})", {} });
  cr_assert(cursor.next({}).isWatch);
}

Test(large_answers, a_watch_without_an_answer_is_repeated)
{
  StoreCursor cursor = watchingCursor();
  for (int i = 0; i < 10; ++i) {
    cursor.onReplyLost(StoreReplyLoss::unanswered);
    cr_assert(cursor.next({}).isWatch);
    cr_assert(cursor.onReply({ 503, {}, {} }).kind ==
              StoreOutcome::Kind::failed);
    cr_assert(cursor.next({}).isWatch);
  }
}

/// Guards against a listing that exceeds the memory of a small instance: values
/// that are no registration are kept until the last page has come.
Test(large_answers, a_value_too_large_for_a_registration_is_not_kept)
{
  const auto sizeOf = [](const std::string& key, std::size_t bytes) {
    standin::StoreData store;
    store.put(key, std::string(bytes, 'x'));
    const auto response = parseStoreResponse(store.list(key, "", 1).body);
    cr_assert_eq(response->items.size(), 1);
    return response->items[0].value.size();
  };
  cr_assert_eq(sizeOf("servers/i-1", 20000), 20000);
  cr_assert_eq(sizeOf("servers/i-1", kLargeBytes), 0);
  cr_assert_eq(sizeOf("op/config", kLargeBytes), kLargeBytes);
}
