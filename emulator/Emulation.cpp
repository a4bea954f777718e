#include "Emulation.h"

#include <unistd.h>

namespace buckthornwing::emulator {
namespace internal {

constexpr std::size_t kPageItems = 10;
/// \brief Each run has a loopback network of its own.
constexpr unsigned kFirstNetwork = 16;
constexpr unsigned kNetworks = 200;

}

Emulation::Emulation(const EmulationSettings& settings)
  : settings(settings)
  , addresses{ internal::kFirstNetwork +
               static_cast<unsigned>(::getpid()) % internal::kNetworks }
  , kept(bootTime())
  , store(context, internal::kPageItems)
  , entries(context, addresses, kept, settings.program, settings.directory)
  , targets(context, addresses, store, kept, this->targetHooks())
{
}

boost::leaf::result<void>
Emulation::start(MilliDuration warmUp)
{
  BOOST_LEAF_CHECK(this->store.start(this->addresses.store()));
  this->routes.emplace(this->store, this->addresses);
  this->targets.start(this->settings.targets);
  BOOST_LEAF_CHECK(this->entries.start(this->settings.instances));
  this->fabric.emplace(
    this->context, this->addresses, this->entries, this->settings.seed);
  BOOST_LEAF_CHECK(this->fabric->start());
  this->world.emplace(World{ this->context,
                             this->timers,
                             this->addresses,
                             this->kept,
                             this->store,
                             this->storeStability,
                             this->entries,
                             this->targets,
                             *this->routes,
                             *this->fabric });
  this->checks.emplace(*this->world);
  const auto onReset = [this](const CallerFlow& flow, const Endpoint& sender) {
    this->checks->onReset(flow, sender);
  };
  this->callers.emplace(
    *this->world, CallerHooks{ onReset }, this->settings.seed + 1);
  this->timers.after(warmUp, [this] { this->startCallers(); });
  return {};
}

TargetHooks
Emulation::targetHooks()
{
  return {
    [this](const TargetMessage& message) { this->callers->onMessage(message); },
    [this](
      const CallerPacket& packet, const Target& target, const Endpoint& from) {
      this->checks->onOpening(
        packet, this->callers->find(packet.flow), target, from);
    },
    [this](const CallerPacket& packet, std::uint64_t number) {
      this->checks->onPacket(packet, this->callers->find(packet.flow), number);
    }
  };
}

void
Emulation::startCallers()
{
  this->kept.mustSucceed(
    [&] { return this->callers->start(this->settings.callers); });
}

}
