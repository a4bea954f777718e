#include "Faults.h"

namespace buckthornwing::soak {
namespace internal {

constexpr std::int64_t kMinGapMs = 50;
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
  this->injectors.emplace_back([this] { this->killAllInstances(); });
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
  this->injectors.emplace_back([this] { this->injectStoreFault(); });
  this->injectors.emplace_back([this] { this->expireRegistrations(); });
  this->injectors.emplace_back([this] {
    this->parts.guarantees.count("fault_history_dropped");
    this->parts.store.dropHistory();
  });
  this->injectors.emplace_back([this] { this->keepCopy(); });
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
}

void
Faults::changeRoute()
{
  const std::size_t route = this->randomBelow(emulator::Routes::kRouteCount);
  // The first two routes are never dropped: callers always need a route.
  const std::size_t choice = this->randomBelow(route < 2 ? 2 : 3);
  std::optional<std::string> service;
  if (choice < 2) {
    service = choice == 0 ? "booking" : "billing";
  }
  this->parts.guarantees.recordFault("route_change",
                                     std::to_string(route) + " to " +
                                       service.value_or("nothing"));
  this->parts.routes.change(route, service);
}

void
Faults::killAllInstances()
{
  // Runs only once in three times, so that other faults hit running instances.
  if (this->randomBelow(3) != 0) {
    return;
  }
  this->parts.guarantees.count("fault_kill_all");
  const MilliDuration downFor = this->randomDuration(100, 1500);
  for (std::size_t i = 0; i < this->parts.instances.size(); ++i) {
    this->parts.instances.kill(i, downFor);
  }
}

void
Faults::injectStoreFault()
{
  constexpr std::array kStoreFaults{ standin::StoreFault::busy,
                                     standin::StoreFault::limited,
                                     standin::StoreFault::silent,
                                     standin::StoreFault::malformed };
  const std::size_t faultIndex = this->randomBelow(kStoreFaults.size());
  this->parts.guarantees.recordFault("store",
                                     "mood " + std::to_string(faultIndex));
  ++this->activeStoreFaults;
  this->parts.storeStability.beginFault();
  this->parts.store.setFault(kStoreFaults[faultIndex]);
  this->parts.timers.after(this->randomDuration(300, 5000),
                           [this] { this->endStoreFault(); });
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
Faults::keepCopy()
{
  const auto restoreLater = [this,
                             copy = this->parts.store.copy()](int drills) {
    this->parts.timers.after(
      this->randomDuration(500, 3000),
      [this, copy, drills] { this->restoreStore(copy, drills); });
  };
  // Some drills follow each other within seconds.
  restoreLater(this->randomBelow(3) == 0 ? 2 : 1);
}

void
Faults::restoreStore(const standin::StoreData::Copy& copy, int drills)
{
  this->parts.guarantees.recordFault("restore", std::to_string(copy.revision));
  ++this->activeStoreFaults;
  this->parts.storeStability.beginFault();
  this->parts.store.setFault(standin::StoreFault::busy);
  this->parts.timers.after(
    this->randomDuration(200, 1000), [this, copy, drills] {
      this->parts.store.restore(copy);
      if (this->activeStoreFaults == 1) {
        this->parts.store.setFault(standin::StoreFault::none);
      }
      this->parts.targets.onStoreRestored();
      this->parts.routes.writeNewest();
      this->parts.timers.after(internal::kRewriteTime,
                               [this] { this->endStoreFault(); });
      if (drills > 1) {
        this->parts.timers.after(
          this->randomDuration(100, 1000),
          [this, copy, drills] { this->restoreStore(copy, drills - 1); });
      }
    });
}

void
Faults::expireRegistrations()
{
  if (this->activeStoreFaults > 0) {
    return;
  }
  ++this->activeStoreFaults;
  this->parts.storeStability.beginFault();
  const MilliDuration duration = this->randomDuration(1000, 4000);
  this->parts.targets.removeRegistrations(duration);
  this->parts.timers.after(duration, [this] { this->endStoreFault(); });
}

}
