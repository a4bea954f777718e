#ifndef BUCKTHORNWING_EMULATOR_TARGETS_H
#define BUCKTHORNWING_EMULATOR_TARGETS_H

#include "Addresses.h"
#include "DatagramSocket.h"
#include "Guarantees.h"
#include "SilentPort.h"
#include "Timers.h"

#include <Tagging>
#include <standin/StoreStandin.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief A packet of a target to a caller.
struct TargetMessage
{
  enum class Kind : std::uint8_t
  {
    accept,
    answer,
    finish,
    reset,
  };

  Kind kind = Kind::accept;
  FlowKey flow;
  std::uint64_t target = 0; ///< the target's number
  FlowTag tag;
  std::uint32_t sequence = 0; ///< the next byte that the caller then expects
  std::string requestId;
};

/// \brief One backend server.
struct Target
{
  enum class State : std::uint8_t
  {
    serving,
    draining,
    silent, ///< takes nothing and answers nothing
    gone,   ///< its address answers that nothing listens
  };

  struct FlowState
  {
    FlowTag tag;
    std::uint32_t sequence = 0;
    std::set<std::uint32_t> receivedSequences; ///< sequences of requests
  };

  std::uint64_t number = 0;
  std::string service;
  std::string zone;
  State state = State::gone;
  bool isRegistered = false;
  std::uint64_t incarnation = 0;
  MilliTime startedAt{};
  MilliTime registeredAt{};
  std::optional<MilliTime> drainingSince; ///< as the store acknowledged it
  Stability stability;
  std::unique_ptr<DatagramSocket> packets;
  std::unique_ptr<HttpServer> health;
  std::unique_ptr<SilentPort> silentPort; ///< in place of health while silent
  std::map<FlowKey, FlowState> flows;
  unsigned busySlots = 0;
  std::deque<std::function<void()>> waitingRequests;
};

/// \brief What targets tell the rest of a run.
struct TargetHooks
{
  std::function<void(const TargetMessage&)> onMessage;
  /// \brief An opening reached a target that accepts it.
  std::function<void(const CallerPacket&, const Target&, const Endpoint& from)>
    onOpening;
  /// \brief A later packet of a flow was sent to a target, by its number.
  std::function<void(const CallerPacket&, std::uint64_t number)> onPacket;
};

/// \brief The backend servers of a run, and their entries in the store.
class Targets
{
public:
  Targets(boost::asio::io_context& context,
          const Addresses& addresses,
          standin::StoreStandin& store,
          Guarantees& guarantees,
          TargetHooks hooks);

  /// \brief Starts \a count targets, two services in two zones.
  void start(std::size_t count);

  std::size_t size() const { return this->targets.size(); }
  const Target& at(std::size_t index) const { return *this->targets[index]; }

  /// \returns the target with a number, if it is the newest at its address.
  const Target* find(std::uint64_t number) const;

  /// \returns whether a service has a target that has been well for long
  /// enough to be known everywhere.
  bool canServe(const std::string& service) const;

  void drain(std::size_t index);
  void crash(std::size_t index, bool isSilent);
  void restart(std::size_t index);
  void isolate(std::size_t index, MilliDuration duration);

  /// \brief Takes all entries out of the store and puts those of living
  /// targets back a moment after \a span.
  void removeRegistrations(MilliDuration duration);

  void putMalformedRegistration();

private:
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  standin::StoreStandin& store;
  Guarantees& guarantees;
  TargetHooks hooks;
  std::vector<std::unique_ptr<Target>> targets;
  /// Closed, with handlers that may still be under way.
  std::vector<std::unique_ptr<DatagramSocket>> closedPackets;
  std::vector<std::unique_ptr<HttpServer>> closedHealth;
  std::uint64_t nextNumber = 0x1000;
  int activeRemovals = 0;

  void startTarget(std::size_t index, const std::string& service);
  void openSockets(std::size_t index);
  void openHealth(std::size_t index);
  void closeHealth(Target& target);
  void makeSilent(std::size_t index);
  void registerTarget(Target& target, std::size_t index);
  void removeTarget(std::size_t index);
  void deregister(std::uint64_t number);
  std::string storeKeyOf(const Target& target) const;
  void onDatagram(std::size_t index,
                  std::span<const std::uint8_t> bytes,
                  const Endpoint& from);
  void onOpening(Target& target,
                 const CallerPacket& packet,
                 const Endpoint& from);
  void onData(std::size_t index, const CallerPacket& packet);
  void startWork(std::size_t index, const FlowKey& flow, const std::string& id);
  void finishWork(std::size_t index,
                  std::uint64_t incarnation,
                  const FlowKey& flow,
                  const std::string& id);
  void send(const Target& target, TargetMessage message);
};

}

#endif
