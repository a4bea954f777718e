/// \file
/// \brief Tests of the target registry, the route table and the flow tags.

#include "TagFixture.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief Applies the changes from the start of the store's history.
std::vector<TargetSlot>
applyUpTo(TargetRegistry& registry,
          std::uint64_t asOf,
          std::span<const TargetChange> changes,
          MilliTime now)
{
  if (!registry.loaded()) {
    registry.applyListing({ positionAt(0), {} }, now);
  }
  return registry.applyDelta({ positionAt(0), positionAt(asOf), changes }, now)
    .value();
}

}

Test(registry, an_older_revision_is_ignored)
{
  TargetRegistry registry;
  const TargetChange newer =
    listed(1, 9, "booking", "a", TargetState::draining);
  const TargetChange older = listed(1, 5);
  applyUpTo(registry, 9, std::span(&newer, 1), MilliTime{ 1 });
  cr_assert(
    applyUpTo(registry, 5, std::span(&older, 1), MilliTime{ 2 }).empty());
  cr_assert(registry.at(registry.find("t-1")).record.state ==
            TargetState::draining);
  cr_assert(registry.position() == positionAt(9));
}

Test(registry, a_listing_removes_targets_that_it_lacks)
{
  TargetRegistry registry;
  const std::vector<TargetChange> both{ listed(1, 1), listed(2, 2) };
  registry.applyListing({ positionAt(2), both }, MilliTime{ 1 });
  const std::vector<TargetChange> one{ listed(1, 1) };
  registry.applyListing({ positionAt(5), one }, MilliTime{ 2 });
  cr_assert(registry.at(registry.find("t-2")).presence == TargetPresence::gone);
  cr_assert(registry.at(registry.find("t-1")).takesNewFlows());
}

Test(registry, a_listing_of_an_older_revision_removes_no_newer_target)
{
  TargetRegistry registry;
  const TargetChange late = listed(2, 8);
  applyUpTo(registry, 8, std::span(&late, 1), MilliTime{ 1 });
  const std::vector<TargetChange> stale{ listed(1, 1) };
  registry.applyListing({ positionAt(5), stale }, MilliTime{ 2 });
  cr_assert(registry.at(registry.find("t-2")).takesNewFlows());
}

Test(registry, entries_that_vanish_during_a_store_failure_are_kept_for_a_while)
{
  TargetRegistry registry;
  const TargetChange first = listed(1, 1);
  applyUpTo(registry, 1, std::span(&first, 1), MilliTime{ 0 });
  registry.recordStoreFailure(MilliTime{ 10000 });
  const TargetChange end = gone(1, 2);
  applyUpTo(registry, 2, std::span(&end, 1), MilliTime{ 10500 });
  const KnownTarget& target = registry.at(registry.find("t-1"));
  cr_assert(target.presence == TargetPresence::lapsed);
  cr_assert(target.takesNewFlows());
  registry.tick(MilliTime{ 12400 }, MilliTime{ 12400 });
  cr_assert(target.presence == TargetPresence::lapsed);
  registry.tick(MilliTime{ 12900 }, MilliTime{ 12900 });
  cr_assert(target.presence == TargetPresence::gone);
}

Test(registry, a_draining_target_that_vanishes_is_removed_at_once)
{
  TargetRegistry registry;
  const std::vector<TargetChange> changes{
    listed(1, 1), listed(1, 2, "booking", "a", TargetState::draining)
  };
  applyUpTo(registry, 2, changes, MilliTime{ 0 });
  registry.recordStoreFailure(MilliTime{ 100 });
  const TargetChange end = gone(1, 3);
  applyUpTo(registry, 3, std::span(&end, 1), MilliTime{ 200 });
  cr_assert(registry.at(registry.find("t-1")).presence == TargetPresence::gone);
}

Test(registry, an_unreadable_entry_takes_no_new_flows_and_affects_no_other)
{
  TargetRegistry registry;
  std::vector<TargetChange> changes{ listed(1, 1), listed(2, 2) };
  TargetChange unreadable;
  unreadable.id = "t-1";
  unreadable.version = { 0, 3 };
  unreadable.kind = ChangeKind::unreadable;
  changes.push_back(unreadable);
  unreadable.id = "never-seen";
  changes.push_back(unreadable);
  applyUpTo(registry, 3, changes, MilliTime{ 1 });
  cr_assert_not(registry.at(registry.find("t-1")).takesNewFlows());
  cr_assert(registry.at(registry.find("t-1")).presence ==
            TargetPresence::listed);
  cr_assert(registry.at(registry.find("t-2")).takesNewFlows());
  cr_assert_eq(registry.find("never-seen"), kNoTargetSlot);
}

Test(registry, a_target_that_is_draining_may_serve_again)
{
  TargetRegistry registry;
  const std::vector<TargetChange> changes{
    listed(1, 1, "booking", "a", TargetState::draining), listed(1, 2)
  };
  applyUpTo(registry, 2, changes, MilliTime{ 1 });
  cr_assert(registry.at(registry.find("t-1")).takesNewFlows());
}

Test(registry, peers_receive_the_changes_they_lack_or_a_full_list)
{
  TargetRegistry registry;
  const std::vector<TargetChange> changes{ listed(1, 1),
                                           listed(2, 2),
                                           gone(1, 3) };
  applyUpTo(registry, 3, changes, MilliTime{ 0 });
  bool isFull = true;
  const auto some =
    registry.changesSince(positionAt(2), isFull, MilliTime{ 0 });
  cr_assert_not(isFull);
  cr_assert_eq(some.size(), 1);
  cr_assert(some[0].kind == ChangeKind::gone);
  registry.tick(MilliTime{ 200000 }, MilliTime{ 200000 });
  const auto all =
    registry.changesSince(positionAt(2), isFull, MilliTime{ 200000 });
  cr_assert(isFull, "the end of t-1 is forgotten");
  cr_assert_eq(all.size(), 1);
  cr_assert_eq(all[0].id, "t-2");
}

/// Cold targets whose entries reach instances at different times: none of them
/// takes a target for warm too early.
Test(registry, the_time_of_warmth_is_kept_and_passed_on)
{
  TargetRegistry registry;
  TargetChange change = listed(1, 1);
  change.record.remainingWarmup = MilliDuration{ 8000 };
  applyUpTo(registry, 1, std::span(&change, 1), MilliTime{ 1000 });
  const TargetSlot slot = registry.find("t-1");
  cr_assert(registry.at(slot).isCold(MilliTime{ 8999 }));
  cr_assert_not(registry.at(slot).isCold(MilliTime{ 9000 }));
  bool isFull = false;
  const auto passed = registry.changesSince({}, isFull, MilliTime{ 3000 });
  cr_assert_eq(passed[0].record.remainingWarmup.ms, 6000);
  const auto late = registry.changesSince({}, isFull, MilliTime{ 20000 });
  cr_assert_eq(late[0].record.remainingWarmup.ms, 0);
  change.version.revision = 2;
  change.record.remainingWarmup = MilliDuration{ 12000 };
  applyUpTo(registry, 2, std::span(&change, 1), MilliTime{ 4000 });
  cr_assert(registry.at(slot).isCold(MilliTime{ 15999 }));
}

Test(registry, a_slot_is_reused_only_after_its_tombstone_expired)
{
  TargetRegistry registry;
  const std::vector<TargetChange> changes{ listed(1, 1), gone(1, 2) };
  applyUpTo(registry, 2, changes, MilliTime{ 0 });
  const TargetChange other = listed(2, 3);
  applyUpTo(registry, 3, std::span(&other, 1), MilliTime{ 60000 });
  cr_assert_neq(registry.find("t-1"), registry.find("t-2"));
  cr_assert_neq(registry.find("t-1"), kNoTargetSlot);
}

/// Guards against an entry of another writer that takes over a target's number,
/// whichever of the two was registered first.
Test(registry, of_two_entries_with_a_number_the_later_one_must_answer_first)
{
  for (const bool isOddFirst : { false, true }) {
    TargetRegistry registry;
    const TargetChange first = isOddFirst ? oddEntry(3, 1) : listed(3, 1);
    const TargetChange second = isOddFirst ? listed(3, 4) : oddEntry(3, 4);
    const std::vector<TargetChange> entries{ first, listed(4, 2) };
    registry.applyListing({ positionAt(3), entries }, MilliTime{ 1 });
    const auto changed =
      applyUpTo(registry, 4, std::vector{ second }, MilliTime{ 2 });
    cr_assert_eq(changed.size(), 1, "the other entry is as it was");
    const TargetSlot slot = registry.find(second.id);
    cr_assert(registry.at(registry.find(first.id)).takesNewFlows());
    cr_assert_not(registry.at(slot).takesNewFlows());
    cr_assert(registry.at(slot).needsAnswer());
    TargetChange renewed = second;
    renewed.version.revision = 5;
    applyUpTo(registry, 5, std::vector{ renewed }, MilliTime{ 3 });
    cr_assert_not(registry.at(slot).takesNewFlows());
    cr_assert(registry.onAnswer(slot));
    cr_assert(registry.at(slot).takesNewFlows());
    cr_assert_not(registry.onAnswer(slot));
    cr_assert_eq(registry.numberConflicts(), 1);
  }
}

Test(registry, each_of_two_entries_with_a_number_can_be_removed)
{
  TargetRegistry registry;
  const std::vector<TargetChange> entries{ oddEntry(3, 1),
                                           listed(3, 2),
                                           listed(4, 3) };
  registry.applyListing({ positionAt(3), entries }, MilliTime{ 1 });
  TargetChange end = gone(3, 4);
  end.id = "x-3";
  applyUpTo(registry, 4, std::vector{ end }, MilliTime{ 2 });
  registry.tick(MilliTime{ 100000 }, MilliTime{ 100000 });
  cr_assert_eq(registry.find("x-3"), kNoTargetSlot);
  const std::vector<TargetChange> more{ listed(5, 5), listed(6, 6) };
  applyUpTo(registry, 6, more, MilliTime{ 100001 });
  std::set<TargetSlot> slots;
  for (std::uint64_t number = 3; number <= 6; ++number) {
    const TargetSlot slot = registry.find("t-" + std::to_string(number));
    cr_assert_eq(registry.at(slot).record.number, number);
    cr_assert(slots.insert(slot).second);
  }
}

/// Guards against an entry of another writer at a target's own key: its address
/// took over the target's flows until the target wrote again.
Test(registry, a_process_of_a_target_keeps_its_address)
{
  TargetRegistry registry;
  TargetChange known = listed(3, 1);
  known.record.incarnation = 70;
  registry.applyListing({ positionAt(1), std::span(&known, 1) },
                        MilliTime{ 1 });
  const TargetSlot slot = registry.find("t-3");
  std::uint64_t revision = 1;
  const auto put = [&](std::uint64_t incarnation, const char* address) {
    TargetChange change = known;
    change.version.revision = ++revision;
    change.record.incarnation = incarnation;
    change.record.address = *parseEndpoint(address);
    applyUpTo(registry, revision, std::span(&change, 1), MilliTime{ 2 });
  };
  const std::string own = formatEndpoint(known.record.address);
  for (const std::uint64_t incarnation : { 70, 0 }) {
    put(incarnation, "10.0.9.9:9");
    cr_assert(registry.at(slot).record.address == known.record.address);
    cr_assert_not(registry.at(slot).takesNewFlows());
    put(70, own.c_str());
    cr_assert(registry.at(slot).takesNewFlows());
  }
  put(71, "10.0.9.9:9");
  cr_assert_eq(registry.at(slot).record.address.port, 9, "a new process");
  cr_assert(registry.at(slot).takesNewFlows());
}

Test(routes, an_older_version_is_never_applied)
{
  RouteIndex index;
  cr_assert(index.apply(twoRoutes(41)));
  cr_assert_not(index.apply(twoRoutes(7)));
  cr_assert_not(index.apply(twoRoutes(41)));
  cr_assert(index.apply(twoRoutes(1000)));
  cr_assert_eq(index.version(), 1000);
}

Test(routes, of_two_routes_to_one_destination_the_first_is_used)
{
  RouteTable table = twoRoutes(1);
  table.routes[1].destination = table.routes[0].destination;
  RouteIndex index;
  index.apply(table);
  cr_assert_eq(index.find(table.routes[0].destination)->name, "booking");
}

Test(routes, ports_of_one_address_have_separate_routes)
{
  RouteIndex index;
  index.apply(twoRoutes(1));
  cr_assert_eq(index.find(*parseEndpoint("203.0.113.1:443"))->name, "booking");
  cr_assert_eq(index.find(*parseEndpoint("203.0.113.1:8443"))->name, "sheets");
  cr_assert_null(index.find(*parseEndpoint("203.0.113.1:80")));
}

Test(routes, changes_update_an_older_version)
{
  RouteIndex sender;
  RouteIndex receiver;
  sender.apply(twoRoutes(1));
  receiver.apply(twoRoutes(1));
  RouteTable second = twoRoutes(5);
  second.routes[0].timeout = MilliDuration{ 9000 };
  second.routes.pop_back();
  Route added = second.routes[0];
  added.name = "added";
  added.destination = *parseEndpoint("203.0.113.9:443");
  second.routes.push_back(added);
  sender.apply(second);
  const RouteChanges changes = sender.changesSince(1);
  cr_assert_eq(changes.base, 1);
  cr_assert_eq(changes.routes.size(), 2);
  cr_assert_eq(changes.removed.size(), 1);
  cr_assert(receiver.apply(changes));
  cr_assert_eq(receiver.version(), 5);
  cr_assert_eq(receiver.find(second.routes[0].destination)->timeout.ms, 9000);
  cr_assert_not_null(receiver.find(added.destination));
  cr_assert_null(receiver.find(*parseEndpoint("203.0.113.1:8443")));
}

Test(routes, changes_from_an_unknown_version_are_a_complete_table)
{
  RouteIndex sender;
  sender.apply(twoRoutes(4));
  sender.apply(twoRoutes(6));
  cr_assert_eq(sender.changesSince(4).base, 4);
  const RouteChanges whole = sender.changesSince(5);
  cr_assert_eq(whole.base, 0);
  cr_assert_eq(whole.routes.size(), 2);
  RouteIndex receiver;
  receiver.apply(twoRoutes(5));
  cr_assert_not(receiver.apply(sender.changesSince(4)));
  cr_assert(receiver.apply(whole));
}

Test(tags, a_tag_binds_one_flow_to_one_target)
{
  const TagScheme scheme(99);
  const FlowKey flow = flowOf(1);
  const TargetKey target = targetKeyOf("i-0000002a");
  const FlowTag tag = scheme.mint(flow, target);
  cr_assert_neq(tag.bits, 0);
  cr_assert(scheme.matches(tag, flow, target));
  cr_assert_not(scheme.matches(tag, flow, targetKeyOf("i-0000002b")));
  cr_assert_not(scheme.matches(tag, flow, targetKeyOf("x-0000002a")));
  cr_assert_not(TagScheme(98).matches(tag, flow, target));
}

/// The check has 12 bits, so the tag of another flow passes for about 5 of
/// 20,000 flows.
Test(tags, a_tag_of_another_flow_is_almost_always_rejected)
{
  const TagScheme scheme(99);
  const TargetKey target = targetKeyOf("i-0000002a");
  const FlowTag tag = scheme.mint(flowOf(1), target);
  int passed = 0;
  for (unsigned i = 2; i < 20002; ++i) {
    FlowKey other = flowOf(i);
    other.source.port = static_cast<std::uint16_t>(i);
    other.source.address.bytes[12] = static_cast<std::uint8_t>(i >> 8);
    passed += scheme.matches(tag, other, target) ? 1 : 0;
  }
  cr_assert_leq(passed, 20);
}

Test(tags, targets_with_equal_fingerprints_are_distinguished_by_the_check)
{
  const TagScheme scheme(5);
  std::map<std::uint32_t, std::uint64_t> seen;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (std::uint64_t number = 1; second == 0; ++number) {
    const TargetKey key = targetKeyOf("t-" + std::to_string(number));
    const auto [at, isNew] = seen.emplace(scheme.fingerprint(key), number);
    if (!isNew) {
      first = at->second;
      second = number;
    }
  }
  TargetRegistry registry;
  const std::vector<TargetChange> both{ listed(first, 1), listed(second, 2) };
  applyUpTo(registry, 2, both, MilliTime{ 1 });
  TagIndex index(scheme);
  index.rebuild(registry);
  int ambiguous = 0;
  for (unsigned client = 0; client < 2000; ++client) {
    const FlowKey flow = flowOf(client);
    const TargetSlot slot = registry.find("t-" + std::to_string(second));
    const FlowTag tag = index.mint(registry, flow, slot);
    if (tag.bits == 0) {
      ++ambiguous;
      continue;
    }
    cr_assert_eq(index.find(registry, tag, flow), slot);
  }
  cr_assert_leq(ambiguous, 8);
}

/// Guards against one log line for each target at each start: 600 lines used up
/// the log's budget, and other lines were dropped.
Test(views, the_first_list_of_targets_is_reported_in_one_event)
{
  TagEngine engine(EngineFixture::settings({}, "entry-1", 1));
  std::vector<TargetChange> targets;
  for (std::uint64_t i = 1; i <= 600; ++i) {
    targets.push_back(listed(i, i));
  }
  const MilliTime now{ 100000 };
  listTargets(engine, 600, targets, now);
  const auto events = engine.takeEvents();
  cr_assert_eq(events.size(), 1);
  cr_assert(events[0].kind == TagEventKind::registryLoaded);
  const TargetChange left = gone(1, 700);
  changeTargets(engine, 700, std::span(&left, 1), now);
  cr_assert_eq(engine.takeEvents().size(), 1);
}
