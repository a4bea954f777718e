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

/// \brief Writes decisions and changes of belief as JSON lines, at a bounded
/// rate for each kind of line.
class TagLog
{
public:
  TagLog(JsonLog& log, std::string instance, TagLogLevel level);

  void setLevel(TagLogLevel newLevel) { this->level = newLevel; }

  /// \brief Logs what was decided on a packet, if the level asks for it.
  /// \param heldFor how long the packet waited for a newer view, if it did
  void decision(const TagBoard& board,
                const CallerPacket& packet,
                const SteeringDecision& decision,
                std::string_view requestId,
                std::optional<MilliDuration> heldFor,
                MilliTime now);
  void change(const TagBoard& board, const TagEvent& event, MilliTime now);
  /// \brief Logs a span in which the own link was busy.
  void traffic(const TrafficReport& report);
  /// \brief Logs a step in the process's life.
  void note(std::string_view event, std::string_view text);
  /// \brief Tells how many lines were left out since the last call.
  void reportSuppressed();

  std::uint64_t suppressed() const { return this->suppressedLines; }

private:
  /// \brief Lines of one kind a second, and at once after a quiet time.
  static constexpr double kLinesPerSecond = 150;
  static constexpr double kLinesAtOnce = 600;

  JsonLog& log;
  std::string instance;
  TagLogLevel level;
  std::array<TokenBucket, 2 * kSteeringReasonCount> budgets;
  TokenBucket changeBudget;
  std::uint64_t suppressedLines = 0;
  std::uint64_t reportedSuppressed = 0;

  bool isWanted(const CallerPacket& packet,
                const SteeringDecision& decision,
                std::string_view requestId) const;
};

}

#endif
