/// \file
/// \brief The emulator's own judgement: what it counts as a fault is one, and
/// nothing else is.

#include <emulator/Routes.h>
#include <emulator/Targets.h>
#include <platform/PacketCodec.h>
#include <standin/FabricPacket.h>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace buckthornwing;
using namespace buckthornwing::emulator;
using namespace buckthornwing::literals;

namespace {

constexpr MilliDuration kWindow{ 2000 };

ShownFlow
shownAt(MilliTime sentAt, VersionSpan versions, unsigned start = 1)
{
  return { 0, start, 3, versions, sentAt };
}

}

Test(shown_versions, an_older_version_after_the_window_is_a_way_back)
{
  ShownVersions shown(kWindow);
  const MilliTime first{ 10000 };
  cr_assert_not(shown.show(shownAt(first, { 4, 4 }), first));
  const MilliTime soon = first + 1500_ms;
  cr_assert_not(shown.show(shownAt(soon, { 1, 3 }), soon));
  const MilliTime late = first + 2500_ms;
  cr_assert(shown.show(shownAt(late, { 1, 3 }), late));
  // Version 4 may name that service as well.
  cr_assert_not(shown.show(shownAt(late, { 1, 4 }), late));
}

Test(shown_versions, a_new_process_may_start_with_an_older_version)
{
  ShownVersions shown(kWindow);
  const MilliTime first{ 10000 };
  shown.show(shownAt(first, { 4, 4 }), first);
  const MilliTime late = first + 5_s;
  cr_assert_not(shown.show(shownAt(late, { 1, 3 }, 2), late));
}

Test(routes, remember_which_versions_name_a_service)
{
  boost::asio::io_context context;
  standin::StoreStandin store(context, 10);
  Routes routes(store, Addresses{ 99 });
  routes.change(1, "booking");
  routes.change(0, std::nullopt);
  const auto billing = routes.versionsOf(1, "billing");
  cr_assert_eq(billing->oldest, 0);
  cr_assert_eq(billing->newest, 0);
  const auto booking = routes.versionsOf(1, "booking");
  cr_assert_eq(booking->oldest, 1);
  cr_assert_eq(booking->newest, 2);
  cr_assert_not(routes.versionsOf(1, "other"));
  const auto ever = routes.servicesSince(0, MilliTime{});
  cr_assert(ever.contains("booking") && ever.contains(""));
}

/// The reset that an instance writes is what the emulator's callers read.
Test(fabric, reads_the_resets_of_instances)
{
  CallerPacket packet;
  packet.flow = *parseFlowKey("tcp 198.51.100.7:40001 203.0.113.10:443");
  const auto reset = platform::PacketCodec::makeReset(packet);
  const auto flow = standin::parseReset(reset);
  cr_assert(flow == packet.flow);
  packet.opens = true;
  cr_assert_not(standin::parseReset(standin::encodeCallerPacket(packet)));
}

/// Soak seeds 403 and 406: a target that was cut off while entries lapsed never
/// registered again, and instances were blamed for refusals.
Test(targets, one_that_was_cut_off_during_a_lapse_registers_again)
{
  boost::asio::io_context context;
  standin::StoreStandin store(context, 10);
  Promises promises(bootTime());
  Targets targets(context, Addresses{ 98 }, store, promises, {});
  targets.start(2);
  targets.cut(0, 2500_ms);
  targets.forgetEntries(100_ms);
  context.run_for(std::chrono::milliseconds(1800));
  cr_assert_not(targets.at(0).isRegistered);
  cr_assert(targets.at(1).isRegistered);
  context.run_for(std::chrono::milliseconds(1200));
  cr_assert(targets.at(0).isRegistered);
}
