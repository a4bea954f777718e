/// \file
/// \brief Tests of entries that another writer left among those of the targets.

#include "Loopback.h"

using namespace buckthornwing;
using namespace buckthornwing::test;

namespace {

/// \brief Starts an instance, puts an entry into the store, and starts another
/// instance, which lists it.
/// \returns whether both then forward an opening to the target
bool
bothServeBeside(Loopback& loopback,
                const std::string& key,
                const std::string& value)
{
  Server& before = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(before));
  loopback.store.put(key, value);
  loopback.store.dropHistory();
  loopback.context.run_for(std::chrono::milliseconds(1500));
  loopback.context.restart();
  // The second instance finds no peer, so it reads the store.
  Server& after = loopback.launch("entry-2");
  const bool isReady = loopback.waitReady(after);
  const auto serves = [&](Server& server, std::uint16_t port) {
    const auto packet =
      loopback.forwardPacket(server, Loopback::packet(kOpen, 0, port));
    return packet.size() == 40;
  };
  return isReady && serves(before, 40001) && serves(after, 40002);
}

/// \returns the registration of a target at an address where none is.
std::string
registrationElsewhere()
{
  return R"({"service":"booking","address":"127.0.0.1:9","zone":"a",)"
         R"("version":"v1","slots":3,"state":"ready","warmup_left_ms":0,"seq":1})";
}

}

/// Guards against an instance that never lists again: the key of a page's last
/// entry went into the next request as it is.
Test(odd_entries, ids_with_reserved_characters_do_not_stop_a_listing)
{
  for (const char* id : { "a b", "a#b", "a&b", "a%b", "a+b", "a?b=c" }) {
    Loopback loopback;
    // Two items make a page, and this one ends the first.
    loopback.store.put("servers/" + std::string(id) + "1", "no entry");
    cr_assert(
      bothServeBeside(loopback, "servers/" + std::string(id) + "2", "no entry"),
      "id %s",
      id);
  }
}

/// Guards against an entry that takes over the flows of a living target: the
/// number in the packets is made of the last digits of an id.
Test(odd_entries, an_id_with_the_number_of_a_target_leaves_its_flows_alone)
{
  Loopback loopback;
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  const std::uint32_t tag =
    tagOf(loopback.forwardPacket(server, Loopback::packet(kOpen, 0)));
  loopback.store.put("servers/x-00000001", registrationElsewhere());
  loopback.context.run_for(std::chrono::milliseconds(1500));
  loopback.context.restart();
  cr_assert_eq(
    loopback.forwardPacket(server, Loopback::packet(kAcknowledge, tag)).size(),
    40);
  loopback.store.remove("servers/x-00000001");
  loopback.context.run_for(std::chrono::milliseconds(1500));
  loopback.context.restart();
  cr_assert_eq(
    loopback.forwardPacket(server, Loopback::packet(kAcknowledge, tag)).size(),
    40);
  cr_assert_eq(
    loopback.forwardPacket(server, Loopback::packet(kOpen, 0, 40002)).size(),
    40);
}

Test(odd_entries,
     an_id_with_the_number_of_a_target_is_ignored_by_a_new_instance)
{
  Loopback loopback;
  // The target's entry changes last, but it was created first.
  loopback.store.put("servers/x-00000001", registrationElsewhere());
  loopback.registerTarget("i-00000001", "ready");
  Server& server = loopback.launch("entry-1");
  cr_assert(loopback.waitReady(server));
  for (std::uint16_t port = 40001; port < 40009; ++port) {
    cr_assert_eq(
      loopback.forwardPacket(server, Loopback::packet(kOpen, 0, port)).size(),
      40);
  }
}

Test(odd_entries, nested_and_oversized_values_end_no_instance)
{
  for (const std::string& value :
       { std::string(100000, '['),
         std::string(600000, 'v'),
         "{\"slots\":" + std::string(400, '9') + "}" }) {
    Loopback loopback;
    cr_assert(bothServeBeside(loopback, "servers/i-0000000a", value));
  }
}
