#include "Faults.h"

#include <platform/StoreItems.h>

namespace buckthornwing::soak {
namespace internal {

constexpr std::int64_t kMinGapMs = 50;
/// \brief Entries of another writer that together exceed what an instance takes
/// in one answer.
constexpr std::size_t kLargeEntries = 6;
constexpr std::size_t kLargeEntryBytes = 1000000;
/// \brief Time within which targets write again what the store has lost.
constexpr MilliDuration kRewriteTime{ 2000 };
/// \brief Maximum time between two faults in ms; the seed selects one. With
/// short gaps faults overlap, long gaps leave time in which bounds must hold.
constexpr std::array<std::int64_t, 3> kMaxGapsMs{ 400, 1200, 5000 };

}

Faults::Faults(emulator::EmulationParts& parts, std::uint64_t seed)
  : parts(parts)
  , random{ seed }
  , maxGapMs(internal::kMaxGapsMs[seed % internal::kMaxGapsMs.size()])
{
  this->addInstanceFaults();
  this->addLinkFaults();
  this->addStoreFaults();
  this->addTargetFaults();
  this->addOperatorChanges();
  this->addPlannedWork();
}

MilliDuration
Faults::randomDuration(std::int64_t minMs, std::int64_t maxMs)
{
  const auto width = static_cast<std::size_t>(maxMs - minMs + 1);
  return MilliDuration{ minMs +
                        static_cast<std::int64_t>(this->randomBelow(width)) };
}

void
Faults::start(MilliDuration duration)
{
  this->endTime = bootTime() + duration;
  this->injectNext();
}

void
Faults::injectNext()
{
  if (bootTime() >= this->endTime) {
    return;
  }
  this->injectors[this->randomBelow(this->injectors.size())]();
  this->parts.timers.after(
    this->randomDuration(internal::kMinGapMs, this->maxGapMs),
    [this] { this->injectNext(); });
}

void
Faults::addInstanceFaults()
{
  this->injectors.emplace_back([this] {
    this->parts.instances.kill(this->randomInstance(),
                               this->randomDuration(100, 2500));
  });
  this->injectors.emplace_back([this] {
    this->parts.instances.stop(this->randomInstance(),
                               this->randomDuration(0, 1000));
  });
  this->injectors.emplace_back([this] {
    this->parts.instances.freeze(this->randomInstance(),
                                 this->randomDuration(300, 4000));
  });
  this->injectors.emplace_back([this] {
    this->parts.instances.reload(this->randomInstance(),
                                 this->randomBelow(2) == 0);
  });
  this->injectors.emplace_back([this] {
    this->parts.instances.stallLog(this->randomInstance(),
                                   this->randomDuration(1000, 5000));
  });
  this->injectors.emplace_back([this] {
    // Runs only once in three times, so that other faults hit running
    // instances.
    if (this->randomBelow(3) == 0) {
      this->killAll(this->randomDuration(100, 1500));
    }
  });
}

void
Faults::addLinkFaults()
{
  this->injectors.emplace_back([this] {
    const auto fault =
      static_cast<emulator::StreamFault>(1 + this->randomBelow(4));
    this->parts.instances.injectStoreLinkFault(
      this->randomInstance(), fault, this->randomDuration(500, 5000));
  });
  this->injectors.emplace_back([this] {
    const std::size_t receiver = this->randomInstance();
    this->parts.instances.blockPeer(
      receiver, this->randomInstance(), this->randomDuration(500, 5000));
  });
  this->injectors.emplace_back([this] {
    this->parts.instances.delayPeers(this->randomInstance(),
                                     this->randomDuration(20, 400),
                                     this->randomDuration(500, 4000));
  });
  this->injectors.emplace_back([this] {
    const std::size_t instance = this->randomInstance();
    this->parts.fabric.setFault(instance, { 0.1, 0.1, MilliDuration{ 60 } });
    this->parts.instances.injectFault(instance,
                                      "packet_link",
                                      this->randomDuration(500, 4000),
                                      [this, instance](emulator::Instance&) {
                                        this->parts.fabric.setFault(instance,
                                                                    {});
                                      });
  });
}

void
Faults::addStoreFaults()
{
  this->injectors.emplace_back([this] {
    constexpr std::array kStoreFaults{ standin::StoreFault::busy,
                                       standin::StoreFault::limited,
                                       standin::StoreFault::silent,
                                       standin::StoreFault::malformed };
    this->breakStore(kStoreFaults[this->randomBelow(kStoreFaults.size())],
                     this->randomDuration(300, 5000));
  });
  this->injectors.emplace_back(
    [this] { this->expireRegistrations(this->randomDuration(1000, 4000)); });
  this->injectors.emplace_back([this] { this->dropHistory(); });
  this->injectors.emplace_back([this] {
    if (this->randomBelow(3) == 0) {
      this->writeLargeEntries(this->randomDuration(100, 2000));
    }
  });
  this->injectors.emplace_back([this] {
    const MilliDuration after = this->randomDuration(500, 3000);
    this->drill(after, this->randomDuration(200, 1000));
    // Some drills follow each other within seconds.
    if (this->randomBelow(3) == 0) {
      this->drill(after + this->randomDuration(1100, 2000),
                  this->randomDuration(200, 1000));
    }
  });
}

void
Faults::addTargetFaults()
{
  this->injectors.emplace_back(
    [this] { this->parts.targets.drain(this->randomTarget()); });
  this->injectors.emplace_back([this] {
    this->parts.targets.crash(this->randomTarget(), this->randomBelow(2) == 0);
  });
  this->injectors.emplace_back(
    [this] { this->parts.targets.restart(this->randomTarget()); });
  this->injectors.emplace_back([this] {
    this->parts.targets.isolate(this->randomTarget(),
                                this->randomDuration(300, 3000));
  });
  this->injectors.emplace_back(
    [this] { this->parts.targets.putOddEntry(this->randomBelow(100)); });
}

void
Faults::addOperatorChanges()
{
  this->injectors.emplace_back([this] { this->changeRoute(); });
  this->injectors.emplace_back([this] { this->changeRoute(); });
  this->injectors.emplace_back([this] {
    // A reader that receives both in one answer may be the one that is killed.
    this->changeRoutes(2, MilliDuration{});
    this->parts.timers.after(this->randomDuration(1, 150), [this] {
      this->parts.instances.kill(this->randomInstance(),
                                 this->randomDuration(100, 2500));
    });
  });
  this->injectors.emplace_back(
    [this] { this->dropAndRestore(this->randomDuration(1, 3000)); });
}

void
Faults::addPlannedWork()
{
  this->injectors.emplace_back([this] {
    const std::size_t services = this->parts.deployment.services.size();
    this->parts.targets.release(this->randomBelow(services),
                                this->randomDuration(100, 1000));
  });
  this->injectors.emplace_back([this] {
    this->changeRoutes(2 + this->randomBelow(6), MilliDuration{ 330 });
  });
}

void
Faults::changeRoutes(std::size_t count, MilliDuration gap)
{
  MilliDuration delay{};
  for (std::size_t i = 0; i < count; ++i) {
    this->parts.timers.after(delay, [this] { this->changeRoute(); });
    delay = delay + gap;
  }
}

void
Faults::changeRoute()
{
  const std::size_t route = this->randomBelow(emulator::Routes::kRouteCount);
  const std::vector<std::string>& services = this->parts.routes.services();
  // The first two routes are never dropped: callers always need a route.
  const std::size_t choice =
    this->randomBelow(services.size() + (route < 2 ? 0 : 1));
  std::optional<std::string> service;
  if (choice < services.size()) {
    service = services[choice];
  }
  this->parts.guarantees.recordFault("route_change",
                                     std::to_string(route) + " to " +
                                       service.value_or("nothing"));
  this->parts.routes.change(route, service);
}

void
Faults::dropAndRestore(MilliDuration after)
{
  // The first two routes are never dropped.
  const std::size_t route =
    2 + this->randomBelow(emulator::Routes::kRouteCount - 2);
  const std::optional<std::string> service =
    this->parts.routes.serviceOf(route);
  this->parts.guarantees.recordFault("route_drop", std::to_string(route));
  this->parts.routes.change(route, std::nullopt);
  this->parts.timers.after(after, [this, route, service] {
    this->parts.routes.change(
      route, service.value_or(this->parts.routes.services().front()));
  });
}

void
Faults::writeLargeEntries(MilliDuration removeAfter)
{
  this->parts.guarantees.count("fault_large_entries");
  const std::string prefix = std::string(platform::kTargetKeyPrefix) + "large-";
  for (std::size_t i = 0; i < internal::kLargeEntries; ++i) {
    this->parts.store.put(prefix + std::to_string(i),
                          std::string(internal::kLargeEntryBytes, '\xff'));
  }
  this->parts.timers.after(removeAfter, [this, prefix] {
    for (std::size_t i = 0; i < internal::kLargeEntries; ++i) {
      this->parts.store.remove(prefix + std::to_string(i));
    }
  });
}

void
Faults::evacuate(const std::string& zone, MilliDuration duration)
{
  this->parts.evacuations.evacuate(zone);
  this->parts.timers.after(
    duration, [this, zone] { this->parts.evacuations.withdraw(zone); });
}

void
Faults::killAll(MilliDuration downFor)
{
  this->parts.guarantees.count("fault_kill_all");
  for (std::size_t i = 0; i < this->parts.instances.size(); ++i) {
    this->parts.instances.kill(i, downFor);
  }
}

void
Faults::roll(MilliDuration gap)
{
  MilliDuration delay{};
  for (std::size_t i = 0; i < this->parts.instances.size(); ++i) {
    this->parts.timers.after(
      delay, [this, i] { this->parts.instances.stop(i, MilliDuration{}); });
    delay = delay + gap;
  }
}

void
Faults::dropHistory()
{
  this->parts.guarantees.count("fault_history_dropped");
  this->parts.store.dropHistory();
}

void
Faults::breakStore(standin::StoreFault fault, MilliDuration duration)
{
  this->parts.guarantees.recordFault(
    "store", "mood " + std::to_string(static_cast<int>(fault)));
  ++this->activeStoreFaults;
  this->parts.storeStability.beginFault();
  this->parts.store.setFault(fault);
  this->parts.timers.after(duration, [this] { this->endStoreFault(); });
}

void
Faults::endStoreFault()
{
  this->parts.storeStability.endFault();
  if (--this->activeStoreFaults == 0) {
    this->parts.store.setFault(standin::StoreFault::none);
  }
}

void
Faults::drill(MilliDuration after, MilliDuration awayFor)
{
  this->parts.timers.after(after,
                           [this, copy = this->parts.store.copy(), awayFor] {
                             this->beginDrill(copy, awayFor);
                           });
}

void
Faults::beginDrill(const standin::StoreData::Copy& copy, MilliDuration awayFor)
{
  this->parts.guarantees.recordFault("restore", std::to_string(copy.revision));
  ++this->activeStoreFaults;
  this->parts.storeStability.beginFault();
  this->parts.store.setFault(standin::StoreFault::busy);
  this->parts.targets.onStoreAway();
  this->parts.timers.after(awayFor, [this, copy] {
    this->parts.store.restore(copy);
    if (this->activeStoreFaults == 1) {
      this->parts.store.setFault(standin::StoreFault::none);
    }
    this->parts.targets.onStoreRestored();
    this->parts.routes.writeNewest();
    this->parts.evacuations.writeAll();
    this->parts.timers.after(internal::kRewriteTime,
                             [this] { this->endStoreFault(); });
  });
}

void
Faults::expireRegistrations(MilliDuration duration)
{
  if (this->activeStoreFaults > 0) {
    return;
  }
  ++this->activeStoreFaults;
  this->parts.storeStability.beginFault();
  this->parts.targets.removeRegistrations(duration);
  this->parts.timers.after(duration, [this] { this->endStoreFault(); });
}

}
