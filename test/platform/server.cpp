/// \file
/// \brief Tests of the whole daemon on the loopback interface, with a stand-in
/// for the platform's metadata store.

#include "Loopback.h"

using namespace buckthornwing;
using namespace buckthornwing::test;

Test(server, a_flow_opened_at_one_instance_continues_at_another)
{
  Loopback loopback;
  Server& first = loopback.launch("entry-1");
  Server& second = loopback.launch("entry-2");
  cr_assert(loopback.waitReady(first));
  cr_assert(loopback.waitReady(second));
  const auto opened = loopback.forwardPacket(first, Loopback::packet(kOpen, 0));
  cr_assert_eq(opened.size(), 40);
  cr_assert_eq(opened[7], 1, "the prefix holds the target's number");
  const std::uint32_t tag = tagOf(opened);
  cr_assert_neq(tag, 0);
  const auto later =
    loopback.forwardPacket(second, Loopback::packet(kAcknowledge, tag));
  cr_assert_eq(later.size(), 40);
  cr_assert_eq(tagOf(later), tag);
}

Test(server, an_opening_is_explained_at_the_operators_address)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  const HttpResult explained = loopback.query(
    server, "/explain?destination=198.18.0.1:443&caller=127.0.0.1:40001");
  cr_assert_eq(explained.status, 200);
  cr_assert_neq(explained.body.find("\"reason\":\"placed\""),
                std::string::npos);
  cr_assert_eq(loopback.query(server, "/explain?caller=1").status, 400);
  cr_assert_eq(loopback.query(server, "/explained").status, 404);
}

Test(server, an_instance_is_not_ready_before_a_valid_response_of_the_store)
{
  for (const StoreFault fault : { StoreFault::busy,
                                  StoreFault::limited,
                                  StoreFault::malformed,
                                  StoreFault::silent }) {
    Loopback loopback;
    loopback.store.setFault(fault);
    Server& server = loopback.launch("entry-1");
    loopback.runUntil([&] { return loopback.store.calls() >= 2; });
    cr_assert_not(loopback.isReady(server));
    loopback.store.setFault(StoreFault::none);
    cr_assert(loopback.waitReady(server));
  }
}

/// Guards against missing a change that the store no longer has in its history:
/// a watch is answered with status 410, and the targets must be listed again.
Test(server, a_drain_in_dropped_store_history_is_detected)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  loopback.store.setFault(StoreFault::busy);
  loopback.registerTarget("i-00000001", "draining");
  loopback.store.dropHistory();
  loopback.store.setFault(StoreFault::none);
  cr_assert(loopback.runUntil([&] {
    return loopback.status(server).find("\"takes_new_flows\":true") ==
           std::string::npos;
  }));
}

Test(server, the_last_view_stays_in_use_while_the_store_is_down)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  loopback.store.setFault(StoreFault::silent);
  const std::uint64_t calls = loopback.store.calls();
  cr_assert(
    loopback.runUntil([&] { return loopback.store.calls() >= calls + 3; }));
  cr_assert(loopback.isReady(server));
  cr_assert_eq(
    loopback.forwardPacket(server, Loopback::packet(kOpen, 0)).size(), 40);
}

Test(server, a_route_change_takes_effect_within_3_s)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  loopback.publishRoutes(9, "other");
  const auto changedAt = std::chrono::steady_clock::now();
  cr_assert(loopback.runUntil([&] {
    return loopback.status(server).find("\"routes_version\":9") !=
           std::string::npos;
  }));
  const auto took = std::chrono::steady_clock::now() - changedAt;
  cr_assert(took < std::chrono::milliseconds(3000));
}

Test(server, a_stopping_instance_is_not_ready_and_still_forwards)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  const std::uint32_t tag =
    tagOf(loopback.forwardPacket(server, Loopback::packet(kOpen, 0)));
  server.requestStop();
  cr_assert_not(loopback.isReady(server));
  cr_assert_eq(
    loopback.forwardPacket(server, Loopback::packet(kAcknowledge, tag)).size(),
    40);
  bool ended = false;
  for (int i = 0; i < 4000 && !ended; ++i) {
    loopback.context.run_for(std::chrono::milliseconds(5));
    ended = loopback.context.stopped() && server.hasStopped();
    loopback.context.restart();
  }
  cr_assert(ended);
}

Test(server, an_opening_without_a_route_is_answered_with_a_reset)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  // Resets are sent to the caller's address and the port of the daemon's packet
  // socket. Here that is the daemon itself, which receives the reset as a
  // packet from a target. The status shows that it was sent.
  auto bytes = Loopback::packet(kOpen, 0);
  bytes[0] = 9;
  loopback.caller.send(bytes, server.packetEndpoint());
  cr_assert(loopback.runUntil([&] {
    return loopback.status(server).find("\"reset\":1") != std::string::npos;
  }));
}

/// Guards against a bad settings file that shows only when each restarted
/// process fails.
Test(server, refused_settings_are_visible_until_accepted_ones)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  const auto isShown = [&] {
    const bool isMeasured =
      loopback.query(server, "/metrics")
        .body.find("\nbuckthornwing_settings_refused 1\n") != std::string::npos;
    const bool isInStatus =
      loopback.status(server).find(R"("settings_refused":"$.seeds: wrong")") !=
      std::string::npos;
    cr_assert_eq(isMeasured, isInStatus);
    return isMeasured;
  };
  cr_assert_not(isShown());
  server.rejectReload("$.seeds: wrong");
  cr_assert(isShown());
  server.reload({});
  cr_assert_not(isShown());
}
