/// \file
/// \brief Tests of listings whose pages are torn by changes: pages are read one
/// after another and are no snapshot.

#include "Loopback.h"

using namespace buckthornwing;
using namespace buckthornwing::test;

namespace {

/// \brief Longest time until a drain takes effect.
constexpr std::chrono::milliseconds kApplyLimit{ 3000 };

/// \brief Fixture in which the store changes once between the first page of the
/// targets and the second.
struct TornListing : Loopback
{
  bool hasChanged = false;

  explicit TornListing(const std::function<void()>& change)
  {
    this->store.setAfterPage([this, change](const std::string& prefix) {
      if (prefix == "servers/" && !this->hasChanged) {
        this->hasChanged = true;
        change();
        // A later change of an entry on a later page.
        this->store.put("servers/i-00000009", "no entry");
      }
    });
  }
};

}

/// Guards against a drain that is lost for good: the watch continued from the
/// highest revision of any listed entry.
Test(torn_listing, a_drain_between_two_pages_is_applied)
{
  TornListing torn([&torn] { torn.registerTarget("i-00000001", "draining"); });
  Server& server = torn.launch("entry-1");
  cr_assert(torn.waitReady(server));
  torn.context.run_for(kApplyLimit);
  torn.context.restart();
  cr_assert(torn.hasChanged);
  cr_assert_eq(torn.status(server).find("\"takes_new_flows\":true"),
               std::string::npos);
}

/// Guards against resets of the flows of a living target by an instance that
/// has missed its registration.
Test(torn_listing, a_registration_between_two_pages_is_applied)
{
  TornListing torn([&torn] { torn.registerTarget("i-00000001", "ready"); });
  torn.store.remove("servers/i-00000001");
  Server& server = torn.launch("entry-1");
  cr_assert(torn.waitReady(server));
  torn.context.run_for(kApplyLimit);
  torn.context.restart();
  cr_assert(torn.hasChanged);
  cr_assert_neq(torn.status(server).find("\"takes_new_flows\":true"),
                std::string::npos);
}
