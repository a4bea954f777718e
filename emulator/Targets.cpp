#include "Targets.h"

#include <platform/PacketCodec.h>
#include <platform/StoreItems.h>
#include <standin/StoreEntries.h>

#include <boost/endian/conversion.hpp>
#include <iomanip>
#include <sstream>

namespace buckthornwing::emulator {
namespace internal {

constexpr unsigned kSlots = 2;
constexpr MilliDuration kService{ 15 };
constexpr MilliDuration kWire{ 2 };
/// \brief A silent target's entry stays for three heartbeats.
constexpr MilliDuration kEntryLife{ 3600 };
constexpr MilliDuration kAddressRest{ 2000 };
/// \brief Living targets are in the store again this long after its return.
constexpr MilliDuration kReturn{ 1500 };
constexpr MilliDuration kDrainExit{ 4500 };
constexpr std::uint32_t kAnswerBytes = 100;

}

Targets::Targets(boost::asio::io_context& context,
                 const Addresses& addresses,
                 standin::StoreStandin& store,
                 Promises& promises,
                 TargetHooks hooks)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , store(store)
  , promises(promises)
  , hooks(std::move(hooks))
{
}

void
Targets::start(std::size_t count)
{
  for (std::size_t i = 0; i < count; ++i) {
    this->targets.push_back(std::make_unique<Target>());
    this->begin(i, i % 2 == 0 ? "booking" : "billing");
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
        bootTime() - target->registeredAt >= Bounds::kSettled) {
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
  this->promises.fault("drain", std::to_string(target.number));
  target.state = Target::State::draining;
  if (target.isRegistered) {
    this->enter(target, index);
    target.drainingSince = bootTime();
  }
  this->timers.after(internal::kDrainExit, [this, index] {
    if (this->targets[index]->state == Target::State::draining) {
      this->expire(this->targets[index]->number);
      this->leave(index);
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
  this->promises.fault(isSilent ? "silent_crash" : "crash",
                       std::to_string(target.number));
  const std::uint64_t number = target.number;
  this->timers.after(internal::kEntryLife,
                     [this, number] { this->expire(number); });
  target.stability.touch();
  target.flows.clear();
  if (isSilent) {
    this->fallSilent(index);
    this->timers.after(internal::kEntryLife + internal::kEntryLife,
                       [this, index] { this->leave(index); });
  } else {
    this->leave(index);
  }
}

void
Targets::restart(std::size_t index)
{
  Target& target = *this->targets[index];
  if (target.state != Target::State::serving) {
    return;
  }
  this->promises.fault("restart", std::to_string(target.number));
  target.flows.clear();
  target.stability.touch();
  ++target.incarnation;
  target.startedAt = bootTime();
  this->enter(target, index);
}

void
Targets::cut(std::size_t index, MilliDuration span)
{
  Target& target = *this->targets[index];
  if (target.state != Target::State::serving) {
    return;
  }
  this->promises.fault("target_cut", std::to_string(target.number));
  this->fallSilent(index);
  target.stability.begin();
  const std::uint64_t number = target.number;
  this->timers.after(span, [this, index, number] {
    Target& healed = *this->targets[index];
    healed.stability.end();
    if (healed.number == number) {
      healed.state = Target::State::serving;
      healed.silence.reset();
      this->openHealth(index);
      // Its next heartbeat brings back an entry that lapsed meanwhile.
      if (this->forgotten == 0 && !healed.isRegistered) {
        this->enter(healed, index);
      }
    }
  });
}

void
Targets::forgetEntries(MilliDuration span)
{
  this->promises.fault("lapse", std::to_string(span.ms));
  ++this->forgotten;
  this->store.setFault(standin::StoreFault::busy);
  for (auto& target : this->targets) {
    this->expire(target->number);
  }
  this->timers.after(span, [this] {
    this->store.setFault(standin::StoreFault::none);
    this->timers.after(internal::kReturn, [this] {
      --this->forgotten;
      for (std::size_t i = 0; i < this->targets.size(); ++i) {
        Target& target = *this->targets[i];
        if (this->forgotten == 0 && target.state != Target::State::gone &&
            target.state != Target::State::silent) {
          this->enter(target, i);
        }
      }
    });
  });
}

void
Targets::putUnreadableEntry()
{
  this->promises.count("fault_unreadable_entry");
  this->store.put(std::string(platform::kTargetKeyPrefix) + "i-unreadable",
                  "\xff{");
}

std::string
Targets::keyOf(const Target& target) const
{
  std::ostringstream key;
  key << platform::kTargetKeyPrefix << "i-" << std::hex << std::setw(8)
      << std::setfill('0') << target.number;
  return key.str();
}

void
Targets::begin(std::size_t index, const std::string& service)
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
  target.queue.clear();
  target.busy = 0;
  target.stability.touch();
  this->open(index);
  if (this->forgotten == 0) {
    this->enter(target, index);
  }
}

void
Targets::open(std::size_t index)
{
  Target& target = *this->targets[index];
  target.packets = std::make_unique<Datagrams>(this->context);
  this->promises.mustSucceed([&] {
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
  this->promises.mustSucceed([&] {
    return target.health->open(this->addresses.target(index), "bind health");
  });
  target.health->start(
    [&target](const std::string&, const HttpServer::Respond& respond) {
      constexpr unsigned kUnavailable = 503;
      const bool isWell = target.state == Target::State::serving;
      respond({ isWell ? 200 : kUnavailable, "text/plain", "", {} });
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
Targets::fallSilent(std::size_t index)
{
  Target& target = *this->targets[index];
  target.state = Target::State::silent;
  this->closeHealth(target);
  target.silence = std::make_unique<SilentPort>(this->context);
  this->promises.mustSucceed(
    [&] { return target.silence->open(this->addresses.target(index)); });
}

void
Targets::enter(Target& target, std::size_t index)
{
  if (!target.isRegistered) {
    target.registeredAt = bootTime();
  }
  target.isRegistered = true;
  this->store.put(
    this->keyOf(target),
    standin::formatTargetRegistration({ target.service,
                                        this->addresses.target(index),
                                        target.zone,
                                        internal::kSlots,
                                        target.state == Target::State::draining,
                                        target.incarnation }));
}

void
Targets::leave(std::size_t index)
{
  Target& target = *this->targets[index];
  target.state = Target::State::gone;
  target.flows.clear();
  target.packets->close();
  this->closedPackets.push_back(std::move(target.packets));
  this->closeHealth(target);
  target.silence.reset();
  // The next one at this address serves the other service.
  const std::string next = target.service == "booking" ? "billing" : "booking";
  this->timers.after(internal::kAddressRest,
                     [this, index, next] { this->begin(index, next); });
}

void
Targets::expire(std::uint64_t number)
{
  for (auto& target : this->targets) {
    if (target->number == number && target->isRegistered) {
      target->isRegistered = false;
      this->store.remove(this->keyOf(*target));
      return;
    }
  }
  Target former;
  former.number = number;
  this->store.remove(this->keyOf(former));
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
    this->promises.broken("packets_unchanged", "a target got no packet");
    return;
  }
  const std::uint64_t number = boost::endian::load_big_u64(bytes.data());
  if (!packet.opens) {
    this->hooks.onPacket(packet, number);
  }
  if (number != target.number || target.state == Target::State::silent) {
    return;
  }
  if (packet.opens) {
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
  const auto [held, isNew] =
    target.flows.try_emplace(packet.flow, Target::Held{ packet.tag, sequence });
  if (held->second.tag != packet.tag) {
    this->promises.broken("one_tag", formatFlowKey(packet.flow));
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
  const auto held = target.flows.find(packet.flow);
  if (held == target.flows.end()) {
    TargetMessage message;
    message.kind = TargetMessage::Kind::reset;
    message.flow = packet.flow;
    if (!packet.finishes) {
      this->send(target, message);
    }
    return;
  }
  if (packet.finishes) {
    target.flows.erase(held);
    return;
  }
  if (packet.payload.empty() ||
      !held->second.taken.insert(packet.sequence).second) {
    return;
  }
  const std::string id(platform::PacketCodec::requestId(packet.payload));
  const FlowKey flow = packet.flow;
  if (target.busy < internal::kSlots) {
    this->work(index, flow, id);
  } else {
    target.queue.push_back(
      [this, index, flow, id] { this->work(index, flow, id); });
  }
}

void
Targets::work(std::size_t index, const FlowKey& flow, const std::string& id)
{
  Target& target = *this->targets[index];
  ++target.busy;
  const std::uint64_t incarnation = target.incarnation;
  this->timers.after(internal::kService, [this, index, incarnation, flow, id] {
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
  if (target.busy > 0) {
    --target.busy;
  }
  if (!target.queue.empty()) {
    const auto next = std::move(target.queue.front());
    target.queue.pop_front();
    next();
  }
  const auto held = target.flows.find(flow);
  if (target.incarnation != incarnation || held == target.flows.end()) {
    return;
  }
  TargetMessage message;
  message.kind = TargetMessage::Kind::answer;
  message.flow = flow;
  message.requestId = id;
  held->second.sequence += internal::kAnswerBytes;
  message.sequence = held->second.sequence + 1;
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
  const auto held = target.flows.find(message.flow);
  message.tag = held == target.flows.end() ? FlowTag{} : held->second.tag;
  const std::uint64_t number = target.number;
  this->timers.after(internal::kWire, [this, number, message] {
    const Target* sender = this->find(number);
    if (sender != nullptr && sender->state != Target::State::silent) {
      this->hooks.onMessage(message);
    }
  });
}

}
