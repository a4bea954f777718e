#include "Emulation.h"

#include <platform/StoreItems.h>

#include <unistd.h>

namespace buckthornwing::emulator {
namespace internal {

/// \brief The second octet of the loopback addresses is derived from the
/// process number, so that concurrent runs rarely share addresses.
constexpr unsigned kFirstNetwork = 16;
constexpr unsigned kNetworks = 200;

}

Emulation::Emulation(const EmulationSettings& settings)
  : settings(settings)
  , addresses{ internal::kFirstNetwork +
               static_cast<unsigned>(::getpid()) % internal::kNetworks }
  , guaranteeRecord(bootTime())
  , store(context, settings.deployment.pageItems)
  , instances(context,
              addresses,
              guaranteeRecord,
              settings.program,
              settings.directory)
  , targets(context,
            addresses,
            store,
            guaranteeRecord,
            this->settings.deployment,
            this->targetHooks())
  , evacuations(store, guaranteeRecord)
{
}

boost::leaf::result<void>
Emulation::start(MilliDuration warmUp)
{
  BOOST_LEAF_CHECK(this->store.start(this->addresses.store()));
  this->store.setAfterPage([this](const std::string& prefix) {
    // Pages are no snapshot: an entry changes between them.
    if (prefix == platform::kTargetKeyPrefix) {
      this->targets.changeNextEntry();
    }
  });
  const Deployment& deployment = this->settings.deployment;
  this->routes.emplace(this->store, this->addresses, deployment.serviceNames());
  this->targets.start();
  BOOST_LEAF_CHECK(this->instances.start(deployment.instanceZones()));
  this->fabric.emplace(
    this->context, this->addresses, this->instances, this->settings.seed);
  BOOST_LEAF_CHECK(this->fabric->start());
  this->sharedParts.emplace(EmulationParts{ this->settings.deployment,
                                            this->context,
                                            this->timers,
                                            this->addresses,
                                            this->guaranteeRecord,
                                            this->store,
                                            this->storeStability,
                                            this->instances,
                                            this->targets,
                                            this->evacuations,
                                            *this->routes,
                                            *this->fabric });
  this->checks.emplace(*this->sharedParts);
  const auto onReset = [this](const CallerFlow& flow, const Endpoint& sender) {
    this->checks->onReset(flow, sender);
  };
  this->callers.emplace(
    *this->sharedParts, CallerHooks{ onReset }, this->settings.seed + 1);
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
  this->guaranteeRecord.mustSucceed([&] { return this->callers->start(); });
}

}
