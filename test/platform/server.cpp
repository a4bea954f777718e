/// \file
/// \brief The whole daemon over loopback: sockets, the adapter and a stand-in
/// for the platform's store.

#include "Loopback.h"

using namespace buckthornwing;
using namespace buckthornwing::test;

Test(server, a_flow_opened_at_one_instance_goes_on_at_another)
{
  Loopback world;
  Server& first = world.launch("entry-1");
  Server& second = world.launch("entry-2");
  cr_assert(world.waitReady(first));
  cr_assert(world.waitReady(second));
  const auto opened = world.pass(first, Loopback::packet(kOpen, 0));
  cr_assert_eq(opened.size(), 40);
  cr_assert_eq(opened[7], 1, "the target's number stands before the packet");
  const std::uint32_t tag = tagOf(opened);
  cr_assert_neq(tag, 0);
  const auto later = world.pass(second, Loopback::packet(kAcknowledge, tag));
  cr_assert_eq(later.size(), 40);
  cr_assert_eq(tagOf(later), tag);
}

Test(server, it_is_not_ready_before_the_store_has_answered)
{
  for (const StoreMood mood : { StoreMood::busy,
                                StoreMood::limited,
                                StoreMood::malformed,
                                StoreMood::silent }) {
    Loopback world;
    world.store.setMood(mood);
    Server& server = world.launch("entry-1");
    world.runUntil([&] { return world.store.calls() >= 2; });
    cr_assert_not(world.isReady(server));
    world.store.setMood(StoreMood::well);
    cr_assert(world.waitReady(server));
  }
}

Test(server, a_drain_in_dropped_history_is_learned)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  world.store.setMood(StoreMood::busy);
  world.announce("i-00000001", "draining");
  world.store.dropHistory();
  world.store.setMood(StoreMood::well);
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"takes_new_flows\":true") ==
           std::string::npos;
  }));
}

Test(server, what_was_learned_stays_in_use_while_the_store_is_down)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  world.store.setMood(StoreMood::silent);
  const std::uint64_t calls = world.store.calls();
  cr_assert(world.runUntil([&] { return world.store.calls() >= calls + 3; }));
  cr_assert(world.isReady(server));
  cr_assert_eq(world.pass(server, Loopback::packet(kOpen, 0)).size(), 40);
}

Test(server, a_change_of_routes_is_in_force_within_the_bound)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  world.publish(9, "other");
  const auto changedAt = std::chrono::steady_clock::now();
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"routes_version\":9") !=
           std::string::npos;
  }));
  const auto took = std::chrono::steady_clock::now() - changedAt;
  cr_assert(took < std::chrono::milliseconds(3000));
}

Test(server, a_planned_stop_says_not_ready_and_still_forwards)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  const std::uint32_t tag =
    tagOf(world.pass(server, Loopback::packet(kOpen, 0)));
  server.requestStop();
  cr_assert_not(world.isReady(server));
  cr_assert_eq(world.pass(server, Loopback::packet(kAcknowledge, tag)).size(),
               40);
  bool ended = false;
  for (int i = 0; i < 4000 && !ended; ++i) {
    world.context.run_for(std::chrono::milliseconds(5));
    ended = world.context.stopped() && server.hasStopped();
    world.context.restart();
  }
  cr_assert(ended);
}

Test(server, an_opening_without_a_route_is_reset_at_the_caller)
{
  Loopback world;
  Server& server = world.launch("entry-1");
  cr_assert(world.waitReady(server));
  // Resets go to the caller's address at the port of the packet socket, which
  // here is the daemon's own: it arrives there as a packet of a target.
  auto bytes = Loopback::packet(kOpen, 0);
  bytes[0] = 9;
  world.caller.send(bytes, server.packetEndpoint());
  cr_assert(world.runUntil([&] {
    return world.status(server).find("\"reset\":1") != std::string::npos;
  }));
}
