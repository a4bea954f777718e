/// \file
/// \brief Tests of a daemon whose store comes back from an older copy of its
/// data.

#include "Loopback.h"

using namespace buckthornwing;
using namespace buckthornwing::test;

namespace {

/// \brief Fixture whose store can go away and come back from a copy.
struct Drill : Loopback
{
  standin::StoreData::Copy copy;

  Drill() { this->copy = this->store.copy(); }

  /// \brief Lets the store fail for a moment and come back from the copy.
  void restoreStore()
  {
    this->store.setFault(StoreFault::busy);
    this->runFor(MilliDuration{ 300 });
    this->store.restore(this->copy);
    this->store.setFault(StoreFault::none);
  }

  void runFor(MilliDuration span)
  {
    this->context.run_for(std::chrono::milliseconds(span.ms));
    this->context.restart();
  }

  /// \returns whether a daemon has received all changes of the store.
  bool waitForStore(Server& server)
  {
    const std::string revision =
      "\"targets_revision\":" + std::to_string(this->store.copy().revision);
    return this->runUntil([&] { return this->statusHas(server, revision); });
  }

  bool statusHas(Server& server, const std::string& text)
  {
    return this->status(server).find(text) != std::string::npos;
  }
};

/// \brief Longest time until a drain or a configuration takes effect.
constexpr MilliDuration kApplyLimit{ 3000 };

}

/// Guards against a drain that no instance takes notice of: the store had come
/// back from a copy, and the drain's revision was lower than one that had been
/// given out for the same entry before.
Test(store_drill, a_drain_at_a_revision_that_is_given_out_again_is_applied)
{
  Drill drill;
  Server& server = drill.launch("entry-1");
  cr_assert(drill.waitReady(server));
  for (int i = 0; i < 4; ++i) {
    drill.registerTarget("i-00000001", "ready");
  }
  cr_assert(drill.waitForStore(server));
  drill.restoreStore();
  drill.registerTarget("i-00000001", "ready");
  drill.runFor(kApplyLimit);
  drill.registerTarget("i-00000001", "draining");
  drill.runFor(kApplyLimit);
  cr_assert_not(drill.statusHas(server, "\"takes_new_flows\":true"));
}

/// Guards against a configuration that never takes effect: the store had come
/// back from a copy, and the watch of the routes continued from a revision that
/// the store had given out again meanwhile.
Test(store_drill, a_configuration_after_the_store_came_back_takes_effect)
{
  Drill drill;
  Server& server = drill.launch("entry-1");
  cr_assert(drill.waitReady(server));
  drill.publishRoutes(5, "booking");
  drill.publishRoutes(8, "booking");
  cr_assert(drill.runUntil(
    [&] { return drill.statusHas(server, "\"routes_version\":8"); }));
  drill.restoreStore();
  drill.publishRoutes(8, "booking");
  drill.publishRoutes(9, "other");
  drill.runFor(kApplyLimit);
  cr_assert(drill.statusHas(server, "\"routes_version\":9"));
}
