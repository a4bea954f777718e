#ifndef BUCKTHORNWING_TAG_LOG_H
#define BUCKTHORNWING_TAG_LOG_H

#include "../Core/TokenBucket.h"
#include "../Steering/TagEngine.h"
#include "JsonLog.h"
#include "TagServerSettings.h"
#include "TrafficMeter.h"

#include <array>
#include <optional>
#include <string_view>

namespace buckthornwing {

/// \brief Logs decisions and state changes as JSON lines, with a separate rate
/// limit for each kind of line.
class TagLog
{
public:
  TagLog(JsonLog& log, std::string instance, TagLogLevel level);

  void setLevel(TagLogLevel newLevel) { this->level = newLevel; }

  /// \brief Logs the decision on a packet if the log level includes it.
  /// \param requestId empty if the packet starts no request
  /// \param heldFor time for which the packet was held until a newer view;
  /// empty if it was decided at once
  void decision(const TagBlackboard& board,
                const CallerPacket& packet,
                const SteeringDecision& decision,
                std::string_view requestId,
                std::optional<MilliDuration> heldFor,
                MilliTime now);
  /// \brief Logs an event of the engine, such as a target found dead.
  void change(const TagBlackboard& board, const TagEvent& event, MilliTime now);
  /// \brief Logs the bytes of a time span in which the instance's link was busy
  /// or ticks were late.
  void traffic(const TrafficReport& report);
  /// \brief Logs an event of the process, such as its start. Isn't
  /// rate-limited.
  void note(std::string_view event, std::string_view text);
  /// \brief Logs the number of lines that were suppressed or lost since the
  /// last call, if any.
  void reportSuppressed();

  /// \returns the number of lines suppressed by the rate limits.
  std::uint64_t suppressed() const { return this->suppressedLines; }

private:
  /// \brief Rate limit for lines of one kind.
  static constexpr double kLinesPerSecond = 150;
  /// \brief Number of lines of one kind that may exceed the rate in a burst.
  static constexpr double kBurstLines = 600;

  JsonLog& log;
  std::string instance;
  TagLogLevel level;
  std::array<TokenBucket, 2 * kSteeringReasonCount> rateLimits;
  TokenBucket changeRateLimit;
  std::uint64_t suppressedLines = 0;
  std::uint64_t reportedSuppressed = 0;

  bool isWanted(const CallerPacket& packet,
                const SteeringDecision& decision,
                std::string_view requestId) const;
};

}

#endif
