/// \file
/// \brief Tests of the emulator: it reports exactly the violations of the
/// daemon's guarantees.

#include <emulator/Deployment.h>
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

ObservedFlow
observedAt(MilliTime sentAt, VersionRange versions, unsigned processNumber = 1)
{
  return { 0, processNumber, 3, versions, sentAt };
}

}

/// Guards against missed regressions, and against false reports while an
/// instance may still use the previous version.
Test(observed_versions, an_older_version_after_the_window_is_a_regression)
{
  ObservedVersions versions(kWindow);
  const MilliTime first{ 10000 };
  cr_assert_not(versions.observe(observedAt(first, { 4, 4 }), first));
  const MilliTime soon = first + 1500_ms;
  cr_assert_not(versions.observe(observedAt(soon, { 1, 3 }), soon));
  const MilliTime late = first + 2500_ms;
  cr_assert(versions.observe(observedAt(late, { 1, 3 }), late));
  // The flow may have been forwarded with version 4, so there is no regression.
  cr_assert_not(versions.observe(observedAt(late, { 1, 4 }), late));
}

/// Guards against a false report after a restart of an instance.
Test(observed_versions, a_new_process_may_start_with_an_older_version)
{
  ObservedVersions versions(kWindow);
  const MilliTime first{ 10000 };
  versions.observe(observedAt(first, { 4, 4 }), first);
  const MilliTime late = first + 5_s;
  cr_assert_not(versions.observe(observedAt(late, { 1, 3 }, 2), late));
}

Test(routes, history_tells_which_versions_name_a_service)
{
  boost::asio::io_context context;
  standin::StoreStandin store(context, 10);
  Routes routes(store, Addresses{ 99 }, { "booking", "billing" });
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

/// Guards against a difference between the reset packets that instances write
/// and those that the emulator's callers parse.
Test(fabric, a_reset_written_by_an_instance_is_parsed)
{
  CallerPacket packet;
  packet.flow = *parseFlowKey("tcp 198.51.100.7:40001 203.0.113.10:443");
  const auto reset = platform::PacketCodec::makeReset(packet);
  const auto flow = standin::parseReset(reset);
  cr_assert(flow == packet.flow);
  packet.isOpening = true;
  cr_assert_not(standin::parseReset(standin::encodeCallerPacket(packet)));
}

/// Guards against a fault of the emulator: a target that was isolated while
/// registrations were removed never registered again, so that refusals of flows
/// were reported as violations by instances (soak seeds 403 and 406).
Test(targets, a_target_isolated_while_registrations_are_removed_registers_again)
{
  boost::asio::io_context context;
  standin::StoreStandin store(context, 10);
  Guarantees guarantees(bootTime());
  const Deployment deployment = makeDeployment(2, 2, 0);
  Targets targets(context, Addresses{ 98 }, store, guarantees, deployment, {});
  targets.start();
  targets.isolate(0, 2500_ms);
  targets.removeRegistrations(100_ms);
  context.run_for(std::chrono::milliseconds(1800));
  cr_assert_not(targets.at(0).isRegistered);
  cr_assert(targets.at(1).isRegistered);
  context.run_for(std::chrono::milliseconds(1200));
  cr_assert(targets.at(0).isRegistered);
}

Test(targets, a_released_target_is_replaced_by_one_of_its_service_and_zone)
{
  boost::asio::io_context context;
  standin::StoreStandin store(context, 10);
  Guarantees guarantees(bootTime());
  const Deployment deployment = makeDeployment(2, 2, 0);
  Targets targets(context, Addresses{ 97 }, store, guarantees, deployment, {});
  targets.start();
  const std::uint64_t released = targets.at(0).number;
  targets.release(0, 100_ms);
  context.run_for(std::chrono::milliseconds(50));
  cr_assert_eq(targets.size(), 3);
  cr_assert(targets.at(0).state == Target::State::draining);
  cr_assert(targets.at(0).drainingSince.has_value());
  cr_assert_eq(targets.at(2).service, 0);
  cr_assert_eq(targets.at(2).zone, targets.at(0).zone);
  cr_assert_eq(targets.at(0).number, released);
  targets.scaleIn(0, 5);
  cr_assert(targets.at(2).state == Target::State::serving, "one remains");
}

/// Guards against targets whose entries never change: a lost or repeated
/// revision then touches nobody.
Test(targets, a_target_writes_its_falling_warm_up_until_the_store_is_away)
{
  boost::asio::io_context context;
  standin::StoreStandin store(context, 10);
  Guarantees guarantees(bootTime());
  const Deployment deployment = makeDeployment(2, 1, 0);
  Targets targets(context, Addresses{ 96 }, store, guarantees, deployment, {});
  targets.start();
  const std::uint64_t registered = store.copy().revision;
  context.run_for(std::chrono::milliseconds(2500));
  context.restart();
  const auto copy = store.copy();
  cr_assert_geq(copy.revision, registered + 2);
  targets.onStoreAway();
  context.run_for(std::chrono::milliseconds(1300));
  context.restart();
  cr_assert_eq(store.copy().revision, copy.revision);
  store.restore({});
  targets.onStoreRestored();
  context.run_for(std::chrono::milliseconds(1300));
  cr_assert(store.find("servers/" + formatTargetId(targets.at(0).number)));
}

Test(deployments, wrong_fields_are_named)
{
  const auto problemsOf = [](const char* text) {
    return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(parseDeployment(text, "file"));
        return std::string();
      },
      [](const Error& error) { return formatError(error); },
      [] { return std::string("unknown"); });
  };
  cr_assert_eq(problemsOf(R"({"zones":[
      {"name":"a","instances":2,"callers":3},
      {"name":"b","instances":1,"callers":0}],
    "services":[{"name":"s","targets":[2,1]},
      {"name":"t","targets":[1,0],"slots":3,"warm_up_ms":900}],
    "drain_ms":5000})"),
               "");
  const std::string problems = problemsOf(R"({"zones":[
      {"name":"a","instances":500,"callers":3,"color":1}],
    "services":[{"name":"s","targets":[2,1]}],"drain_ms":0})");
  for (const char* path : { "$.zones[0].instances",
                            "$.zones[0].color",
                            "$.services[0].targets",
                            "$.services",
                            "$.drain_ms" }) {
    cr_assert_neq(problems.find(path), std::string::npos, "%s", path);
  }
}
