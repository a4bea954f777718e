#ifndef BUCKTHORNWING_EMULATOR_CALLERS_H
#define BUCKTHORNWING_EMULATOR_CALLERS_H

#include "EmulationParts.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace buckthornwing::emulator {

/// \brief A caller's request, including all attempts to send it.
struct CallerRequest
{
  MilliTime requestedAt{};
  int attempts = 0;
  std::string id; ///< of the current attempt; each attempt has a new one
};

/// \brief Outcome of a request from the caller's point of view.
enum class RequestOutcome : std::uint8_t
{
  answered,
  abandoned, ///< its flow ended and no further attempt is allowed
  deadline,  ///< no answer within the time limit of a request
};

/// \returns the name of the counter of an outcome.
const char*
requestOutcomeName(RequestOutcome outcome);

/// \brief State of a flow at its caller.
struct CallerFlow
{
  /// Maximum number of times that the opening packet of a flow is sent.
  static constexpr std::size_t kMaxOpenings = 3;

  enum class State : std::uint8_t
  {
    opening, ///< the opening packet was sent; no target has accepted yet
    open,
    closed, ///< kept for a while to recognize late packets
  };

  FlowKey key;
  std::size_t caller = 0; ///< index
  std::size_t route = 0;  ///< index
  State state = State::opening;
  std::array<MilliTime, kMaxOpenings> openingTimes{};
  std::size_t openingCount = 0; ///< opening packets sent so far
  MilliTime openedAt{};
  MilliTime lastUsedAt{};
  FlowTag tag;
  std::uint64_t target = 0; ///< number of the target, 0 before it accepts
  std::uint64_t targetIncarnation = 0;
  std::uint32_t sequence = 0;     ///< last sequence number before the request
  std::uint32_t acknowledged = 0; ///< next byte expected from the target
  std::string pendingRequest;     ///< not yet answered; empty if none
  MilliTime retransmitAt{};
  MilliDuration retransmitInterval{};
};

/// \brief Callbacks through which the callers report events.
struct CallerHooks
{
  /// \brief Called when an instance resets a flow that its caller has not
  /// closed, before the caller reacts. \a sender is the address of the
  /// instance.
  std::function<void(const CallerFlow&, const Endpoint& sender)> onReset;
};

/// \brief The emulated callers, which generate the load.
///
/// Each caller keeps one flow open and sends one request at a time. If the flow
/// is reset or isn't accepted, the caller sends the request again on a new
/// flow, unless the request is not idempotent and may have been executed.
class Callers
{
public:
  Callers(EmulationParts& parts, CallerHooks hooks, std::uint64_t seed);

  /// \brief Opens the sockets and starts the callers of all zones.
  /// \returns an error if a socket can't be bound
  boost::leaf::result<void> start();

  /// \brief Stops starting new requests. Pending ones continue.
  void stopRequests() { this->areRequestsStopped = true; }

  /// \brief Processes a packet that a target sent to a caller.
  void onMessage(const TargetMessage& message);

  /// \returns the flow, or a null pointer if it is unknown or was forgotten
  /// some time after it was closed.
  const CallerFlow* find(const FlowKey& key) const;

  /// \brief Requires an answer to each request that starts from now on. Any
  /// other outcome is reported as a violation.
  void requireAnswers() { this->answersRequiredFrom = bootTime(); }

private:
  struct Caller
  {
    std::size_t zone = 0;
    std::optional<FlowKey> flow;
    std::optional<CallerRequest> request;
    MilliTime nextRequestAt{};
  };

  EmulationParts& parts;
  CallerHooks hooks;
  Random random;
  std::vector<std::unique_ptr<DatagramSocket>> sockets; ///< for each zone
  std::vector<Caller> callers;
  std::map<FlowKey, CallerFlow> flows;
  std::uint16_t nextPort = 1024;
  std::uint64_t nextRequestNumber = 1;
  bool areRequestsStopped = false;
  std::optional<MilliTime> answersRequiredFrom;

  const std::string& zoneOf(const CallerFlow& flow) const;
  void tick();
  void tickCaller(std::size_t index, MilliTime now);
  void tickFlow(CallerFlow& flow, MilliTime now);
  void openFlow(std::size_t index, MilliTime now);
  void sendOpening(CallerFlow& flow, MilliTime now);
  void sendRequest(CallerFlow& flow, MilliTime now);
  void sendData(const CallerFlow& flow, std::string_view text, bool finishes);
  void closeFlow(CallerFlow& flow);
  /// \brief Closes a flow that failed and sends its request again on a new
  /// flow, if that is allowed.
  /// \param mayHaveExecuted whether the target may have executed the request
  void onFlowFailure(CallerFlow& flow, bool mayHaveExecuted);
  void endRequest(std::size_t index, RequestOutcome outcome);
  void onReset(std::span<const std::uint8_t> bytes, const Endpoint& from);
};

}

#endif
