#ifndef BUCKTHORNWING_EMULATOR_TARGETS_H
#define BUCKTHORNWING_EMULATOR_TARGETS_H

#include "Addresses.h"
#include "Deployment.h"
#include "TargetTraffic.h"

#include <standin/StoreStandin.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief The backend servers of an emulation, and their registrations in the
/// store.
///
/// Each target has a fixed address. Some time after a target has terminated,
/// another target with a new number and the next service starts at its address,
/// unless it was released or taken away.
///
/// A target writes its entry again with each heartbeat in which it differs from
/// what the store has.
class Targets
{
public:
  Targets(boost::asio::io_context& context,
          const Addresses& addresses,
          standin::StoreStandin& store,
          Guarantees& guarantees,
          const Deployment& deployment,
          TargetHooks hooks);

  /// \brief Starts the targets of the deployment.
  void start();

  std::size_t size() const { return this->targets.size(); }
  const Target& at(std::size_t index) const { return *this->targets[index]; }

  /// \returns the target with this number, or a null pointer if another one has
  /// started at its address since.
  const Target* find(std::uint64_t number) const;

  /// \returns whether a service has a target that has been registered and
  /// without faults for long enough that all instances must know it.
  /// \param isUsable decides whether a target counts; the others are skipped
  bool canServe(const std::string& service,
                const std::function<bool(const Target&)>& isUsable) const;

  /// \brief Drains a serving target, which terminates some seconds later.
  void drain(std::size_t index);
  /// \brief Replaces the targets of a service one after the other: a new one
  /// starts at another address, and the old one drains.
  /// \param service index in the deployment
  /// \param gap time between two targets
  void release(std::size_t service, MilliDuration gap);
  /// \brief Drains some targets of a service, which are not replaced. One
  /// always remains.
  void scaleIn(std::size_t service, std::size_t count);
  /// \brief Lets a serving target crash.
  /// \param isSilent whether its address stops responding, as when its host
  /// fails; otherwise connections are refused
  void crash(std::size_t index, bool isSilent);
  /// \brief Restarts a serving target: it loses its flows and registers with a
  /// new incarnation.
  void restart(std::size_t index);
  /// \brief Cuts a serving target off from the network for \a duration.
  void isolate(std::size_t index, MilliDuration duration);

  /// \brief Removes all registrations from the store, which is unavailable for
  /// \a duration. Targets that are alive register again some time after that.
  void removeRegistrations(MilliDuration duration);

  /// \brief Handles a store that accepts no writes until onStoreRestored().
  void onStoreAway() { this->isStoreAway = true; }
  /// \brief Handles a store that has come back from an older copy: with their
  /// next heartbeats the targets write again what it has lost, and entries of
  /// targets that have ended expire.
  void onStoreRestored();

  /// \brief Lets one target after the other change its entry.
  void changeNextEntry();

  /// \brief Stores an entry of another writer, which names no target.
  /// \param variant selects one of several kinds
  void putOddEntry(std::size_t variant);

private:
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  standin::StoreStandin& store;
  Guarantees& guarantees;
  const Deployment& deployment;
  TargetTraffic traffic;
  std::vector<std::unique_ptr<Target>> targets;
  /// Closed sockets and servers, kept because their handlers may be pending.
  std::vector<std::unique_ptr<DatagramSocket>> closedPackets;
  std::vector<std::unique_ptr<HttpServer>> closedHealth;
  std::uint64_t nextNumber = 0x1000;
  int activeRemovals = 0; ///< targets don't register while it is positive
  bool isStoreAway = false;
  std::size_t heartbeatPhase = 0;
  std::size_t nextChanged = 0; ///< index for changeNextEntry()

  /// \returns whether another target may start at a target's address.
  static bool isAddressFree(const Target& target);
  const ServiceShape& shapeOf(const Target& target) const
  {
    return this->deployment.services[target.service];
  }
  void add(std::size_t service, const std::string& zone);
  void replace(std::size_t index);
  /// \returns the indices of the serving targets of a service.
  std::vector<std::size_t> servingTargets(std::size_t service) const;
  void startTarget(std::size_t index, std::size_t service);
  /// \brief Lets a twelfth of the targets send their heartbeats.
  void sendHeartbeats();
  void renew(std::size_t index);
  void openSockets(std::size_t index);
  void openHealth(std::size_t index);
  void closeHealth(Target& target);
  void makeSilent(std::size_t index);
  void registerTarget(Target& target, std::size_t index);
  std::string registrationOf(const Target& target, std::size_t index) const;
  void removeOrphans();
  void removeTarget(std::size_t index);
  void deregister(std::uint64_t number);
  std::string storeKeyOf(const Target& target) const;
};

}

#endif
