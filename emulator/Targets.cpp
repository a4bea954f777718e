#include "Targets.h"

#include <platform/PacketCodec.h>
#include <platform/StoreItems.h>
#include <standin/StoreEntries.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <iomanip>
#include <sstream>

namespace buckthornwing::emulator {
namespace internal {

/// \brief Number of requests that a target processes at the same time.
constexpr unsigned kSlots = 2;
constexpr MilliDuration kServiceTime{ 15 };
/// \brief Network delay from a target to a caller.
constexpr MilliDuration kReplyDelay{ 2 };
/// \brief The registration of a crashed target expires after three heartbeat
/// periods.
constexpr MilliDuration kRegistrationLifetime{ 3600 };
/// \brief Time from the end of a target until the next one at its address.
constexpr MilliDuration kAddressReuseDelay{ 2000 };
/// \brief Time from the end of an outage of the store until all targets that
/// are alive have registered again.
constexpr MilliDuration kReregistrationDelay{ 1500 };
constexpr MilliDuration kDrainDuration{ 4500 };
constexpr std::uint32_t kAnswerBytes = 100;

}

Targets::Targets(boost::asio::io_context& context,
                 const Addresses& addresses,
                 standin::StoreStandin& store,
                 Guarantees& guarantees,
                 TargetHooks hooks)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , store(store)
  , guarantees(guarantees)
  , hooks(std::move(hooks))
{
}

void
Targets::start(std::size_t count)
{
  for (std::size_t i = 0; i < count; ++i) {
    this->targets.push_back(std::make_unique<Target>());
    this->startTarget(i, i % 2 == 0 ? "booking" : "billing");
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
Targets::canServe(const std::string& service) const
{
  for (const auto& target : this->targets) {
    if (target->service == service && target->state == Target::State::serving &&
        target->stability.isStable() &&
        bootTime() - target->registeredAt >= Bounds::kSettlingTime) {
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
    target.drainingSince = bootTime();
  }
  this->timers.after(internal::kDrainDuration, [this, index] {
    if (this->targets[index]->state == Target::State::draining) {
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
  this->timers.after(internal::kReregistrationDelay,
                     [this] { this->writeAgain(); });
  this->timers.after(internal::kRegistrationLifetime,
                     [this] { this->removeOrphans(); });
}

void
Targets::writeAgain()
{
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    const Target& target = *this->targets[i];
    const std::string key = this->storeKeyOf(target);
    const std::string entry = this->registrationOf(target, i);
    if (target.isRegistered && this->store.find(key) != entry) {
      this->store.put(key, entry);
    }
  }
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
Targets::putOddEntry(std::size_t variant)
{
  this->guarantees.count("fault_odd_entry");
  const std::string prefix(platform::kTargetKeyPrefix);
  const Target& target = *this->targets[variant % this->targets.size()];
  constexpr std::size_t kVariants = 4;
  switch (variant % kVariants) {
    case 0:
      this->store.put(prefix + "i-unreadable", "\xff{");
      break;
    case 1:
      this->store.put(prefix + "i-1 a&b#c%", std::string(1000, '['));
      break;
    case 2:
      // The digits of a target's id, and an address where nothing listens.
      this->store.put(
        prefix + "x" + this->storeKeyOf(target).substr(prefix.size() + 1),
        standin::formatTargetRegistration(
          { target.service, *parseEndpoint("127.0.0.1:9"), "zone-a" }));
      break;
    default:
      this->store.put(prefix + "i-2", std::string(100000, 'v'));
      break;
  }
}

std::string
Targets::storeKeyOf(const Target& target) const
{
  std::ostringstream key;
  key << platform::kTargetKeyPrefix << "i-" << std::hex << std::setw(8)
      << std::setfill('0') << target.number;
  return key.str();
}

void
Targets::startTarget(std::size_t index, const std::string& service)
{
  Target& target = *this->targets[index];
  target.number = ++this->nextNumber;
  target.service = service;
  target.zone = index / 2 % 2 == 0 ? "zone-a" : "zone-b";
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
      [this, index](std::span<const std::uint8_t> bytes, const Endpoint& from) {
        this->onDatagram(index, bytes, from);
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
  this->store.put(this->storeKeyOf(target),
                  this->registrationOf(target, index));
}

std::string
Targets::registrationOf(const Target& target, std::size_t index) const
{
  return standin::formatTargetRegistration(
    { target.service,
      this->addresses.target(index),
      target.zone,
      internal::kSlots,
      target.state == Target::State::draining,
      target.incarnation });
}

void
Targets::removeTarget(std::size_t index)
{
  Target& target = *this->targets[index];
  target.state = Target::State::gone;
  target.flows.clear();
  target.packets->close();
  this->closedPackets.push_back(std::move(target.packets));
  this->closeHealth(target);
  target.silentPort.reset();
  // The next target at this address belongs to the other service.
  const std::string next = target.service == "booking" ? "billing" : "booking";
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

void
Targets::onDatagram(std::size_t index,
                    std::span<const std::uint8_t> bytes,
                    const Endpoint& from)
{
  Target& target = *this->targets[index];
  CallerPacket packet;
  if (bytes.size() < platform::kTargetPrefixBytes ||
      platform::PacketCodec::parse(bytes.subspan(platform::kTargetPrefixBytes),
                                   packet) != PacketFault::none) {
    this->guarantees.reportViolation("packets_unchanged",
                                     "a target received an invalid packet");
    return;
  }
  const std::uint64_t number = boost::endian::load_big_u64(bytes.data());
  if (!packet.isOpening) {
    this->hooks.onPacket(packet, number);
  }
  if (number != target.number || target.state == Target::State::silent) {
    return;
  }
  if (packet.isOpening) {
    this->onOpening(target, packet, from);
  } else {
    this->onData(index, packet);
  }
}

void
Targets::onOpening(Target& target,
                   const CallerPacket& packet,
                   const Endpoint& from)
{
  this->hooks.onOpening(packet, target, from);
  const auto sequence = static_cast<std::uint32_t>(mixWords(
    target.number + target.incarnation, flowIdOf(packet.flow, 1).bits));
  const auto [found, isNew] = target.flows.try_emplace(
    packet.flow, Target::FlowState{ packet.tag, sequence });
  if (found->second.tag != packet.tag) {
    this->guarantees.reportViolation("one_tag", formatFlowKey(packet.flow));
  }
  TargetMessage message;
  message.kind = TargetMessage::Kind::accept;
  message.flow = packet.flow;
  message.sequence = sequence + 1;
  this->send(target, message);
}

void
Targets::onData(std::size_t index, const CallerPacket& packet)
{
  Target& target = *this->targets[index];
  const auto found = target.flows.find(packet.flow);
  if (found == target.flows.end()) {
    TargetMessage message;
    message.kind = TargetMessage::Kind::reset;
    message.flow = packet.flow;
    if (!packet.isFinish) {
      this->send(target, message);
    }
    return;
  }
  if (packet.isFinish) {
    target.flows.erase(found);
    return;
  }
  if (packet.payload.empty() ||
      !found->second.receivedSequences.insert(packet.sequence).second) {
    return;
  }
  const std::string id(platform::PacketCodec::requestId(packet.payload));
  const FlowKey flow = packet.flow;
  if (target.busySlots < internal::kSlots) {
    this->startWork(index, flow, id);
  } else {
    target.waitingRequests.push_back(
      [this, index, flow, id] { this->startWork(index, flow, id); });
  }
}

void
Targets::startWork(std::size_t index,
                   const FlowKey& flow,
                   const std::string& id)
{
  Target& target = *this->targets[index];
  ++target.busySlots;
  const std::uint64_t incarnation = target.incarnation;
  this->timers.after(internal::kServiceTime,
                     [this, index, incarnation, flow, id] {
                       this->finishWork(index, incarnation, flow, id);
                     });
}

void
Targets::finishWork(std::size_t index,
                    std::uint64_t incarnation,
                    const FlowKey& flow,
                    const std::string& id)
{
  Target& target = *this->targets[index];
  if (target.busySlots > 0) {
    --target.busySlots;
  }
  if (!target.waitingRequests.empty()) {
    const auto next = std::move(target.waitingRequests.front());
    target.waitingRequests.pop_front();
    next();
  }
  const auto found = target.flows.find(flow);
  if (target.incarnation != incarnation || found == target.flows.end()) {
    return;
  }
  TargetMessage message;
  message.kind = TargetMessage::Kind::answer;
  message.flow = flow;
  message.requestId = id;
  found->second.sequence += internal::kAnswerBytes;
  message.sequence = found->second.sequence + 1;
  this->send(target, message);
  if (target.state == Target::State::draining) {
    message.kind = TargetMessage::Kind::finish;
    this->send(target, message);
  }
}

void
Targets::send(const Target& target, TargetMessage message)
{
  message.target = target.number;
  const auto found = target.flows.find(message.flow);
  message.tag = found == target.flows.end() ? FlowTag{} : found->second.tag;
  const std::uint64_t number = target.number;
  this->timers.after(internal::kReplyDelay, [this, number, message] {
    const Target* sender = this->find(number);
    if (sender != nullptr && sender->state != Target::State::silent) {
      this->hooks.onMessage(message);
    }
  });
}

}
