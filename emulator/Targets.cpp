#include "Targets.h"

#include <platform/StoreItems.h>
#include <standin/StoreEntries.h>

#include <algorithm>

namespace buckthornwing::emulator {
namespace internal {

/// \brief The registration of a crashed target expires after three heartbeat
/// periods.
constexpr MilliDuration kRegistrationLifetime{ 3600 };
/// \brief Time from the end of a target until the next one at its address.
constexpr MilliDuration kAddressReuseDelay{ 2000 };
/// \brief Time from the end of an outage of the store until all targets that
/// are alive have registered again.
constexpr MilliDuration kReregistrationDelay{ 1500 };
/// \brief A draining target terminates after the first of these times and up to
/// the second one more.
constexpr MilliDuration kMinDrainDuration{ 4500 };
constexpr std::int64_t kDrainSpreadMs = 6000;
constexpr MilliDuration kHeartbeatPeriod{ 1200 };
/// \brief Parts of the period in which different targets send heartbeats.
constexpr std::size_t kHeartbeatPhases = 12;

}

Targets::Targets(boost::asio::io_context& context,
                 const Addresses& addresses,
                 standin::StoreStandin& store,
                 Guarantees& guarantees,
                 const Deployment& deployment,
                 TargetHooks hooks)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , store(store)
  , guarantees(guarantees)
  , deployment(deployment)
  , traffic(context, guarantees, deployment, std::move(hooks))
{
}

void
Targets::start()
{
  const auto& services = this->deployment.services;
  for (std::size_t service = 0; service < services.size(); ++service) {
    const std::vector<std::size_t>& counts = services[service].targetsByZone;
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
      for (std::size_t i = 0; i < counts[zone]; ++i) {
        this->add(service, this->deployment.zones[zone].name);
      }
    }
  }
  const MilliDuration phase{ internal::kHeartbeatPeriod.ms /
                             static_cast<std::int64_t>(
                               internal::kHeartbeatPhases) };
  this->timers.every(phase, [this] { this->sendHeartbeats(); });
}

bool
Targets::isAddressFree(const Target& target)
{
  return target.isLast && target.state == Target::State::gone &&
         bootTime() - target.endedAt >= internal::kAddressReuseDelay;
}

void
Targets::add(std::size_t service, const std::string& zone)
{
  std::size_t index = 0;
  while (index < this->targets.size() &&
         !this->isAddressFree(*this->targets[index])) {
    ++index;
  }
  if (index == this->targets.size()) {
    this->targets.push_back(std::make_unique<Target>());
  }
  this->targets[index]->zone = zone;
  this->startTarget(index, service);
}

std::vector<std::size_t>
Targets::servingTargets(std::size_t service) const
{
  std::vector<std::size_t> serving;
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    if (this->targets[i]->service == service &&
        this->targets[i]->state == Target::State::serving) {
      serving.push_back(i);
    }
  }
  return serving;
}

void
Targets::release(std::size_t service, MilliDuration gap)
{
  MilliDuration delay{};
  for (const std::size_t index : this->servingTargets(service)) {
    const std::uint64_t number = this->targets[index]->number;
    this->timers.after(delay, [this, index, number] {
      if (this->targets[index]->number == number) {
        this->replace(index);
      }
    });
    delay = delay + gap;
  }
}

void
Targets::replace(std::size_t index)
{
  if (this->targets[index]->state != Target::State::serving) {
    return;
  }
  this->add(this->targets[index]->service, this->targets[index]->zone);
  this->targets[index]->isLast = true;
  this->drain(index);
}

void
Targets::scaleIn(std::size_t service, std::size_t count)
{
  std::vector<std::size_t> serving = this->servingTargets(service);
  for (std::size_t i = 0; i < count && i + 1 < serving.size(); ++i) {
    this->targets[serving[i]]->isLast = true;
    this->drain(serving[i]);
  }
}

void
Targets::sendHeartbeats()
{
  for (std::size_t i = this->heartbeatPhase; i < this->targets.size();
       i += internal::kHeartbeatPhases) {
    this->renew(i);
  }
  this->heartbeatPhase =
    (this->heartbeatPhase + 1) % internal::kHeartbeatPhases;
}

void
Targets::renew(std::size_t index)
{
  Target& target = *this->targets[index];
  const bool isTalking = target.state == Target::State::serving ||
                         target.state == Target::State::draining;
  if (!isTalking || !target.isRegistered || this->activeRemovals > 0 ||
      this->isStoreAway) {
    return;
  }
  if (this->store.find(this->storeKeyOf(target)) !=
      this->registrationOf(target, index)) {
    this->registerTarget(target, index);
  }
}

const Target*
Targets::find(std::uint64_t number) const
{
  for (const auto& target : this->targets) {
    if (target->number == number) {
      return target.get();
    }
  }
  return nullptr;
}

bool
Targets::canServe(const std::string& service,
                  const std::function<bool(const Target&)>& isUsable) const
{
  for (const auto& target : this->targets) {
    if (this->shapeOf(*target).name == service && isUsable(*target) &&
        target->state == Target::State::serving &&
        target->stability.isStable() &&
        bootTime() - target->registeredAt >=
          this->deployment.bounds.settlingTime) {
      return true;
    }
  }
  return false;
}

void
Targets::drain(std::size_t index)
{
  Target& target = *this->targets[index];
  if (target.state != Target::State::serving) {
    return;
  }
  this->guarantees.recordFault("drain", std::to_string(target.number));
  target.state = Target::State::draining;
  if (target.isRegistered) {
    this->registerTarget(target, index);
  }
  const MilliDuration spread{ static_cast<std::int64_t>(
    mixWords(target.number, 1) % internal::kDrainSpreadMs) };
  const std::uint64_t number = target.number;
  this->timers.after(
    internal::kMinDrainDuration + spread, [this, index, number] {
      if (this->targets[index]->number == number &&
          this->targets[index]->state == Target::State::draining) {
        this->deregister(this->targets[index]->number);
        this->removeTarget(index);
      }
    });
}

void
Targets::crash(std::size_t index, bool isSilent)
{
  Target& target = *this->targets[index];
  if (target.state != Target::State::serving) {
    return;
  }
  this->guarantees.recordFault(isSilent ? "silent_crash" : "crash",
                               std::to_string(target.number));
  const std::uint64_t number = target.number;
  this->timers.after(internal::kRegistrationLifetime,
                     [this, number] { this->deregister(number); });
  target.stability.recordInstantFault();
  target.flows.clear();
  if (isSilent) {
    this->makeSilent(index);
    this->timers.after(internal::kRegistrationLifetime +
                         internal::kRegistrationLifetime,
                       [this, index] { this->removeTarget(index); });
  } else {
    this->removeTarget(index);
  }
}

void
Targets::restart(std::size_t index)
{
  Target& target = *this->targets[index];
  if (target.state != Target::State::serving) {
    return;
  }
  this->guarantees.recordFault("restart", std::to_string(target.number));
  target.flows.clear();
  target.stability.recordInstantFault();
  ++target.incarnation;
  target.startedAt = bootTime();
  this->registerTarget(target, index);
}

void
Targets::isolate(std::size_t index, MilliDuration duration)
{
  Target& target = *this->targets[index];
  if (target.state != Target::State::serving) {
    return;
  }
  this->guarantees.recordFault("target_cut", std::to_string(target.number));
  this->makeSilent(index);
  target.stability.beginFault();
  const std::uint64_t number = target.number;
  this->timers.after(duration, [this, index, number] {
    Target& recovered = *this->targets[index];
    recovered.stability.endFault();
    if (recovered.number == number) {
      recovered.state = Target::State::serving;
      recovered.silentPort.reset();
      this->openHealth(index);
      // If the registration has expired in the meantime, the next heartbeat of
      // the target restores it.
      if (this->activeRemovals == 0 && !recovered.isRegistered) {
        this->registerTarget(recovered, index);
      }
    }
  });
}

void
Targets::removeRegistrations(MilliDuration duration)
{
  this->guarantees.recordFault("lapse", std::to_string(duration.ms));
  ++this->activeRemovals;
  this->store.setFault(standin::StoreFault::busy);
  for (auto& target : this->targets) {
    this->deregister(target->number);
  }
  this->timers.after(duration, [this] {
    this->store.setFault(standin::StoreFault::none);
    this->timers.after(internal::kReregistrationDelay, [this] {
      --this->activeRemovals;
      for (std::size_t i = 0; i < this->targets.size(); ++i) {
        Target& target = *this->targets[i];
        if (this->activeRemovals == 0 && target.state != Target::State::gone &&
            target.state != Target::State::silent) {
          this->registerTarget(target, i);
        }
      }
    });
  });
}

void
Targets::onStoreRestored()
{
  this->isStoreAway = false;
  this->timers.after(internal::kRegistrationLifetime,
                     [this] { this->removeOrphans(); });
}

void
Targets::removeOrphans()
{
  const std::string prefix = std::string(platform::kTargetKeyPrefix) + "i-0";
  for (const std::string& key : this->store.keys(prefix)) {
    const bool isRegistered = std::any_of(
      this->targets.begin(),
      this->targets.end(),
      [this, &key](const auto& target) {
        return target->isRegistered && this->storeKeyOf(*target) == key;
      });
    if (!isRegistered) {
      this->store.remove(key);
    }
  }
}

void
Targets::changeNextEntry()
{
  if (this->targets.empty()) {
    return;
  }
  const std::size_t index = this->nextChanged++ % this->targets.size();
  Target& target = *this->targets[index];
  target.extraSlots = 1 - target.extraSlots;
  this->renew(index);
}

void
Targets::putOddEntry(std::size_t variant)
{
  this->guarantees.count("fault_odd_entry");
  const std::string prefix(platform::kTargetKeyPrefix);
  const Target& target = *this->targets[variant % this->targets.size()];
  constexpr std::size_t kVariants = 6;
  const Endpoint kNowhere = *parseEndpoint("127.0.0.1:9");
  switch (variant % kVariants) {
    case 0:
      this->store.put(prefix + "i-unreadable", "\xff{");
      break;
    case 1:
      this->store.put(prefix + "i-1 a&b#c%", std::string(1000, '['));
      break;
    case 2:
      // The digits of a target's id, and an address where nothing listens.
      this->store.put(prefix + "x" +
                        this->storeKeyOf(target).substr(prefix.size() + 1),
                      standin::formatTargetRegistration(
                        { this->shapeOf(target).name, kNowhere, target.zone }));
      break;
    case 3:
      // The same, at the target's address.
      this->store.put(
        prefix + "x" + this->storeKeyOf(target).substr(prefix.size() + 1),
        this->registrationOf(target, variant % this->targets.size()));
      break;
    case 4:
      // At the target's own key, until it writes again.
      if (target.isRegistered) {
        this->store.put(
          this->storeKeyOf(target),
          standin::formatTargetRegistration({ this->shapeOf(target).name,
                                              kNowhere,
                                              target.zone,
                                              1,
                                              false,
                                              target.incarnation }));
      }
      break;
    default:
      this->store.put(prefix + "i-2", std::string(100000, 'v'));
      break;
  }
}

std::string
Targets::storeKeyOf(const Target& target) const
{
  return std::string(platform::kTargetKeyPrefix) +
         formatTargetId(target.number);
}

void
Targets::startTarget(std::size_t index, std::size_t service)
{
  Target& target = *this->targets[index];
  target.number = ++this->nextNumber;
  target.service = service;
  target.isLast = false;
  target.state = Target::State::serving;
  target.incarnation = static_cast<std::uint64_t>(wallClockMilliseconds());
  target.startedAt = bootTime();
  target.drainingSince.reset();
  target.flows.clear();
  target.waitingRequests.clear();
  target.busySlots = 0;
  target.stability.recordInstantFault();
  this->openSockets(index);
  if (this->activeRemovals == 0) {
    this->registerTarget(target, index);
  }
}

void
Targets::openSockets(std::size_t index)
{
  Target& target = *this->targets[index];
  target.packets = std::make_unique<DatagramSocket>(this->context);
  this->guarantees.mustSucceed([&] {
    return target.packets->open(
      this->addresses.target(index),
      [this, &target](std::span<const std::uint8_t> bytes,
                      const Endpoint& from) {
        this->traffic.onDatagram(target, bytes, from);
      });
  });
  this->openHealth(index);
}

void
Targets::openHealth(std::size_t index)
{
  Target& target = *this->targets[index];
  target.health = std::make_unique<HttpServer>(this->context);
  this->guarantees.mustSucceed([&] {
    return target.health->open(this->addresses.target(index),
                               "bind health check port");
  });
  target.health->start(
    [&target](const std::string&, const HttpServer::Respond& respond) {
      constexpr unsigned kUnavailable = 503;
      const bool isServing = target.state == Target::State::serving;
      respond({ isServing ? 200 : kUnavailable, "text/plain", "", {} });
    });
}

void
Targets::closeHealth(Target& target)
{
  if (target.health != nullptr) {
    target.health->close();
    this->closedHealth.push_back(std::move(target.health));
  }
}

void
Targets::makeSilent(std::size_t index)
{
  Target& target = *this->targets[index];
  target.state = Target::State::silent;
  this->closeHealth(target);
  target.silentPort = std::make_unique<SilentPort>(this->context);
  this->guarantees.mustSucceed(
    [&] { return target.silentPort->open(this->addresses.target(index)); });
}

void
Targets::registerTarget(Target& target, std::size_t index)
{
  if (!target.isRegistered) {
    target.registeredAt = bootTime();
  }
  target.isRegistered = true;
  if (this->isStoreAway) {
    return; // the next heartbeat writes the entry
  }
  this->store.put(this->storeKeyOf(target),
                  this->registrationOf(target, index));
  if (target.state == Target::State::draining && !target.drainingSince) {
    target.drainingSince = bootTime();
  }
}

std::string
Targets::registrationOf(const Target& target, std::size_t index) const
{
  const ServiceShape& shape = this->shapeOf(target);
  const MilliDuration age = bootTime() - target.startedAt;
  const MilliDuration remaining{ shape.warmUp.ms - age.ms };
  return standin::formatTargetRegistration(
    { shape.name,
      this->addresses.target(index),
      target.zone,
      shape.slots + target.extraSlots,
      target.state == Target::State::draining,
      target.incarnation,
      std::max(remaining, MilliDuration{}) });
}

void
Targets::removeTarget(std::size_t index)
{
  Target& target = *this->targets[index];
  target.state = Target::State::gone;
  target.endedAt = bootTime();
  target.flows.clear();
  target.packets->close();
  this->closedPackets.push_back(std::move(target.packets));
  this->closeHealth(target);
  target.silentPort.reset();
  if (target.isLast) {
    return;
  }
  const std::size_t next =
    (target.service + 1) % this->deployment.services.size();
  this->timers.after(internal::kAddressReuseDelay,
                     [this, index, next] { this->startTarget(index, next); });
}

void
Targets::deregister(std::uint64_t number)
{
  for (auto& target : this->targets) {
    if (target->number == number && target->isRegistered) {
      target->isRegistered = false;
      this->store.remove(this->storeKeyOf(*target));
      return;
    }
  }
  Target former;
  former.number = number;
  this->store.remove(this->storeKeyOf(former));
}

}
