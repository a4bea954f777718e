#ifndef BUCKTHORNWING_EMULATOR_TARGET_H
#define BUCKTHORNWING_EMULATOR_TARGET_H

#include "DatagramSocket.h"
#include "Guarantees.h"
#include "SilentPort.h"

#include <Tagging>
#include <src/Io/HttpServer.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace buckthornwing::emulator {

/// \brief A packet that a target sends to a caller.
struct TargetMessage
{
  enum class Kind : std::uint8_t
  {
    accept, ///< accepts an opening packet
    answer, ///< answers a request
    finish, ///< closes the flow regularly
    reset,  ///< the target doesn't know the flow
  };

  Kind kind = Kind::accept;
  FlowKey flow;
  std::uint64_t target = 0; ///< the target's number
  FlowTag tag;
  std::uint32_t sequence = 0; ///< next byte that the caller is to expect
  std::string requestId;
};

/// \brief One backend server.
struct Target
{
  enum class State : std::uint8_t
  {
    serving,
    draining,
    silent, ///< ignores packets; connections are neither accepted nor refused
    gone,   ///< has terminated; connections to its address are refused
  };

  /// \brief State of a flow at its target.
  struct FlowState
  {
    FlowTag tag;
    std::uint32_t sequence = 0;
    std::set<std::uint32_t> receivedSequences; ///< of requests, to drop repeats
  };

  std::uint64_t number = 0;
  std::size_t service = 0; ///< index in the deployment
  std::string zone;
  bool isLast = false;     ///< no other target starts at its address by itself
  unsigned extraSlots = 0; ///< published beside those of its service
  State state = State::gone;
  bool isRegistered = false;
  std::uint64_t incarnation = 0;
  MilliTime startedAt{};
  MilliTime endedAt{}; ///< when its address became free
  MilliTime registeredAt{};
  std::optional<MilliTime> drainingSince; ///< when the store had the state
  Stability stability;
  std::unique_ptr<DatagramSocket> packets;
  std::unique_ptr<HttpServer> health;
  std::unique_ptr<SilentPort> silentPort; ///< replaces health while silent
  std::map<FlowKey, FlowState> flows;
  unsigned busySlots = 0;
  std::deque<std::function<void()>> waitingRequests;
};

/// \returns the id under which a target registers.
std::string
formatTargetId(std::uint64_t number);

/// \brief Callbacks through which the targets report events.
struct TargetHooks
{
  /// \brief Called when a packet of a target reaches a caller.
  std::function<void(const TargetMessage&)> onMessage;
  /// \brief Called when an opening packet reaches the target that accepts it.
  /// \a from is the address of the instance that forwarded it.
  std::function<void(const CallerPacket&, const Target&, const Endpoint& from)>
    onOpening;
  /// \brief Called when a packet that isn't an opening packet reaches the
  /// address of a target. \a number is the target number in the packet.
  std::function<void(const CallerPacket&, std::uint64_t number)> onPacket;
};

}

#endif
