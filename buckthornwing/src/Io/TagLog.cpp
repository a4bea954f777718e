#include "TagLog.h"

#include "WallClock.h"

#include <boost/json.hpp>

namespace buckthornwing {
namespace internal {

void
addPacket(const CallerPacket& packet, boost::json::object& line)
{
  line["flow"] = formatFlowKey(packet.flow);
  if (packet.isOpening) {
    line["copy"] = packet.openingCopyIndex;
    return;
  }
  line["tag"] = packet.tag.bits;
  line["sequence"] = packet.sequence;
  line["acknowledged"] = packet.acknowledged;
  line["bytes"] = packet.payload.size();
}

void
addTarget(const TagBlackboard& board,
          TargetSlot slot,
          boost::json::object& line)
{
  const KnownTarget& target = board.registry.at(slot);
  const TargetLoad& load = board.observer.load(slot);
  line["target"] = target.record.id;
  line["target_revision"] = target.version.revision;
  line["target_flows"] = load.flows;
  line["target_busy"] = load.busy;
}

void
addAge(const char* name,
       MilliTime confirmedAt,
       MilliTime now,
       boost::json::object& line)
{
  const auto age = viewAge(confirmedAt, now);
  if (age) {
    line[name] = age->ms;
  }
}

boost::json::object
bytesByKind(const TrafficBytes& bytes)
{
  boost::json::object kinds;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (bytes[i] != 0) {
      kinds[trafficKindName(static_cast<TrafficKind>(i))] = bytes[i];
    }
  }
  return kinds;
}

void
addView(const TagBlackboard& board, MilliTime now, boost::json::object& line)
{
  const StorePosition position = board.registry.position();
  line["targets_revision"] = position.revision;
  if (position.era != 0) {
    line["store_era"] = position.era;
  }
  addAge("targets_age_ms", board.targetsConfirmedAt, now, line);
  line["routes_version"] = board.routes.version();
  addAge("routes_age_ms", board.routesConfirmedAt, now, line);
}

}

TagLog::TagLog(JsonLog& log, std::string instance, TagLogLevel level)
  : log(log)
  , instance(std::move(instance))
  , level(level)
{
  for (TokenBucket& rateLimit : this->rateLimits) {
    rateLimit.configure(kLinesPerSecond, kBurstLines);
  }
  this->changeRateLimit.configure(kLinesPerSecond, kBurstLines);
}

bool
TagLog::isWanted(const CallerPacket& packet,
                 const SteeringDecision& decision,
                 std::string_view requestId) const
{
  if (this->level == TagLogLevel::packets) {
    return true;
  }
  const bool isDecision = packet.isOpening || !requestId.empty() ||
                          decision.outcome != SteeringOutcome::forward;
  return isDecision && this->level == TagLogLevel::decisions;
}

void
TagLog::decision(const TagBlackboard& board,
                 const CallerPacket& packet,
                 const SteeringDecision& decision,
                 std::string_view requestId,
                 std::optional<MilliDuration> heldFor,
                 MilliTime now)
{
  if (!this->isWanted(packet, decision, requestId)) {
    return;
  }
  const std::size_t kind =
    static_cast<std::size_t>(decision.reason) * 2 + (requestId.empty() ? 0 : 1);
  if (!this->rateLimits[kind].take(1, now)) {
    ++this->suppressedLines;
    return;
  }
  boost::json::object line;
  line["time_ms"] = wallClockMilliseconds();
  line["instance"] = this->instance;
  line["event"] = steeringOutcomeName(decision.outcome);
  line["reason"] = steeringReasonName(decision.reason);
  if (!requestId.empty()) {
    line["request"] = requestId;
  }
  if (heldFor) {
    line["held_ms"] = heldFor->ms;
  }
  internal::addPacket(packet, line);
  if (decision.route != nullptr) {
    line["route"] = decision.route->name;
  }
  if (decision.target != kNoTargetSlot) {
    internal::addTarget(board, decision.target, line);
  }
  internal::addView(board, now, line);
  this->log.write(boost::json::serialize(line));
}

void
TagLog::change(const TagBlackboard& board, const TagEvent& event, MilliTime now)
{
  if (!this->changeRateLimit.take(1, now)) {
    ++this->suppressedLines;
    return;
  }
  boost::json::object line;
  line["time_ms"] = wallClockMilliseconds();
  line["instance"] = this->instance;
  line["event"] = tagEventName(event.kind);
  if (!event.subject.empty()) {
    line["subject"] = event.subject;
  }
  if (event.revision != 0) {
    line["revision"] = event.revision;
  }
  if (event.milliseconds != 0) {
    line["ms"] = event.milliseconds;
  }
  if (!event.note.empty()) {
    line["note"] = event.note;
  }
  internal::addView(board, now, line);
  this->log.write(boost::json::serialize(line));
}

void
TagLog::traffic(const TrafficReport& report)
{
  boost::json::object line;
  line["time_ms"] = wallClockMilliseconds();
  line["instance"] = this->instance;
  line["event"] = "traffic";
  line["span_ms"] = report.span.ms;
  line["backlog_ms"] = report.maxBacklog.ms;
  line["tick_gap_ms"] = report.maxTickGap.ms;
  line["sent_bytes"] = internal::bytesByKind(report.sent);
  line["received_bytes"] = internal::bytesByKind(report.received);
  this->log.write(boost::json::serialize(line));
}

void
TagLog::note(std::string_view event, std::string_view text)
{
  boost::json::object line;
  line["time_ms"] = wallClockMilliseconds();
  line["instance"] = this->instance;
  line["event"] = event;
  line["note"] = text;
  this->log.write(boost::json::serialize(line));
}

void
TagLog::reportSuppressed()
{
  const std::uint64_t count =
    this->suppressedLines + this->log.lost() - this->reportedSuppressed;
  if (count == 0) {
    return;
  }
  this->reportedSuppressed += count;
  this->note("lines_left_out", std::to_string(count));
}

}
