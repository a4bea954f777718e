#ifndef BUCKTHORNWING_EMULATOR_CALLERS_H
#define BUCKTHORNWING_EMULATOR_CALLERS_H

#include "EmulationParts.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace buckthornwing::emulator {

/// \brief A request as its caller sees it, over all its tries.
struct CallerRequest
{
  MilliTime requestedAt{};
  int attempts = 0;
  std::string id; ///< of the present try
};

/// \brief How a request ended for its caller.
enum class RequestOutcome : std::uint8_t
{
  answered,
  abandoned, ///< its flow ended and it may not be tried again
  deadline,
};

/// \returns a stable lower-case name for counts.
const char*
requestOutcomeName(RequestOutcome outcome);

/// \brief A flow as its caller sees it.
struct CallerFlow
{
  static constexpr std::size_t kMaxOpenings = 3;

  enum class State : std::uint8_t
  {
    opening,
    open,
    closed,
  };

  FlowKey key;
  std::size_t caller = 0;
  std::size_t route = 0;
  State state = State::opening;
  std::array<MilliTime, kMaxOpenings> openingTimes{};
  std::size_t openingCount = 0;
  MilliTime openedAt{};
  MilliTime lastUsedAt{};
  FlowTag tag;
  std::uint64_t target = 0;
  std::uint64_t targetIncarnation = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string pendingRequest; ///< under way, empty if none
  MilliTime retransmitAt{};
  MilliDuration retransmitInterval{};
};

/// \brief What callers tell the rest of a run.
struct CallerHooks
{
  std::function<void(const CallerFlow&, const Endpoint& sender)> onReset;
};

/// \brief The callers: they keep flows open, ask one request at a time and
/// try again when a flow is reset or never opens.
class Callers
{
public:
  Callers(EmulationParts& parts, CallerHooks hooks, std::uint64_t seed);

  boost::leaf::result<void> start(std::size_t count);

  /// \brief Lets no new request start.
  void stopRequests() { this->areRequestsStopped = true; }

  void onMessage(const TargetMessage& message);

  /// \returns the flow, while it is known.
  const CallerFlow* find(const FlowKey& key) const;

  /// \brief Requests asked from now on must all be answered.
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
  std::array<DatagramSocket, 2> sockets;
  std::vector<Caller> callers;
  std::map<FlowKey, CallerFlow> flows;
  std::uint16_t nextPort = 1024;
  std::uint64_t nextRequestNumber = 1;
  bool areRequestsStopped = false;
  std::optional<MilliTime> answersRequiredFrom;

  std::string zoneName(std::size_t zone) const;
  void tick();
  void tickCaller(std::size_t index, MilliTime now);
  void tickFlow(CallerFlow& flow, MilliTime now);
  void openFlow(std::size_t index, MilliTime now);
  void sendOpening(CallerFlow& flow, MilliTime now);
  void sendRequest(CallerFlow& flow, MilliTime now);
  void sendData(const CallerFlow& flow, std::string_view text, bool finishes);
  void closeFlow(CallerFlow& flow);
  void onFlowFailure(CallerFlow& flow, bool mayHaveExecuted);
  void endRequest(std::size_t index, RequestOutcome outcome);
  void onReset(std::span<const std::uint8_t> bytes, const Endpoint& from);
};

}

#endif
