#include "Faults.h"

namespace buckthornwing::soak {
namespace internal {

constexpr std::int64_t kLeastGapMs = 50;
/// \brief Some runs are dense, and some leave time for bounds to hold.
constexpr std::array<std::int64_t, 3> kMostGapsMs{ 400, 1200, 5000 };

}

Faults::Faults(emulator::World& world, std::uint64_t seed)
  : world(world)
  , random{ seed }
  , mostGapMs(internal::kMostGapsMs[seed % internal::kMostGapsMs.size()])
{
  this->addEntryFaults();
  this->addLinkFaults();
  this->addStoreFaults();
  this->addTargetFaults();
  this->addOperatorChanges();
}

MilliDuration
Faults::span(std::int64_t leastMs, std::int64_t mostMs)
{
  const auto width = static_cast<std::size_t>(mostMs - leastMs + 1);
  return MilliDuration{ leastMs +
                        static_cast<std::int64_t>(this->below(width)) };
}

void
Faults::start(MilliDuration span)
{
  this->until = bootTime() + span;
  this->injectNext();
}

void
Faults::injectNext()
{
  if (bootTime() >= this->until) {
    return;
  }
  this->kinds[this->below(this->kinds.size())]();
  this->world.timers.after(this->span(internal::kLeastGapMs, this->mostGapMs),
                           [this] { this->injectNext(); });
}

void
Faults::addEntryFaults()
{
  this->kinds.emplace_back([this] {
    this->world.entries.kill(this->anyEntry(), this->span(100, 2500));
  });
  this->kinds.emplace_back([this] {
    this->world.entries.stop(this->anyEntry(), this->span(0, 1000));
  });
  this->kinds.emplace_back([this] {
    this->world.entries.freeze(this->anyEntry(), this->span(300, 4000));
  });
  this->kinds.emplace_back([this] {
    this->world.entries.reload(this->anyEntry(), this->below(2) == 0);
  });
  this->kinds.emplace_back([this] {
    this->world.entries.stallLog(this->anyEntry(), this->span(1000, 5000));
  });
  this->kinds.emplace_back([this] { this->killAll(); });
}

void
Faults::addLinkFaults()
{
  this->kinds.emplace_back([this] {
    const auto fault = static_cast<emulator::StreamFault>(1 + this->below(4));
    this->world.entries.cutStore(
      this->anyEntry(), fault, this->span(500, 5000));
  });
  this->kinds.emplace_back([this] {
    const std::size_t deaf = this->anyEntry();
    this->world.entries.cutPeer(deaf, this->anyEntry(), this->span(500, 5000));
  });
  this->kinds.emplace_back([this] {
    this->world.entries.delayPeers(
      this->anyEntry(), this->span(20, 400), this->span(500, 4000));
  });
  this->kinds.emplace_back([this] {
    const std::size_t instance = this->anyEntry();
    this->world.fabric.setFault(instance, { 0.1, 0.1, MilliDuration{ 60 } });
    this->world.entries.harm(instance,
                             "packet_link",
                             this->span(500, 4000),
                             [this, instance](emulator::Entry&) {
                               this->world.fabric.setFault(instance, {});
                             });
  });
}

void
Faults::addStoreFaults()
{
  this->kinds.emplace_back([this] { this->harmStore(); });
  this->kinds.emplace_back([this] { this->lapse(); });
  this->kinds.emplace_back([this] {
    this->world.promises.count("fault_history_dropped");
    this->world.store.dropHistory();
  });
}

void
Faults::addTargetFaults()
{
  this->kinds.emplace_back(
    [this] { this->world.targets.drain(this->anyTarget()); });
  this->kinds.emplace_back([this] {
    this->world.targets.crash(this->anyTarget(), this->below(2) == 0);
  });
  this->kinds.emplace_back(
    [this] { this->world.targets.restart(this->anyTarget()); });
  this->kinds.emplace_back([this] {
    this->world.targets.cut(this->anyTarget(), this->span(300, 3000));
  });
  this->kinds.emplace_back(
    [this] { this->world.targets.putUnreadableEntry(); });
}

void
Faults::addOperatorChanges()
{
  this->kinds.emplace_back([this] { this->changeRoute(); });
  this->kinds.emplace_back([this] { this->changeRoute(); });
}

void
Faults::changeRoute()
{
  const std::size_t route = this->below(emulator::Routes::kRoutes);
  // The first two routes are never dropped, so that callers have some.
  const std::size_t choice = this->below(route < 2 ? 2 : 3);
  std::optional<std::string> service;
  if (choice < 2) {
    service = choice == 0 ? "booking" : "billing";
  }
  this->world.promises.fault("route_change",
                             std::to_string(route) + " to " +
                               service.value_or("nothing"));
  this->world.routes.change(route, service);
}

void
Faults::killAll()
{
  // One in three, so that other faults meet running instances.
  if (this->below(3) != 0) {
    return;
  }
  this->world.promises.count("fault_kill_all");
  const MilliDuration downFor = this->span(100, 1500);
  for (std::size_t i = 0; i < this->world.entries.size(); ++i) {
    this->world.entries.kill(i, downFor);
  }
}

void
Faults::harmStore()
{
  constexpr std::array kMoods{ standin::StoreMood::busy,
                               standin::StoreMood::limited,
                               standin::StoreMood::silent,
                               standin::StoreMood::malformed };
  const std::size_t mood = this->below(kMoods.size());
  this->world.promises.fault("store", "mood " + std::to_string(mood));
  ++this->storeFaults;
  this->world.storeStability.begin();
  this->world.store.setMood(kMoods[mood]);
  this->world.timers.after(this->span(300, 5000),
                           [this] { this->endStoreFault(); });
}

void
Faults::endStoreFault()
{
  this->world.storeStability.end();
  if (--this->storeFaults == 0) {
    this->world.store.setMood(standin::StoreMood::well);
  }
}

void
Faults::lapse()
{
  if (this->storeFaults > 0) {
    return;
  }
  ++this->storeFaults;
  this->world.storeStability.begin();
  const MilliDuration span = this->span(1000, 4000);
  this->world.targets.forgetEntries(span);
  this->world.timers.after(span, [this] { this->endStoreFault(); });
}

}
