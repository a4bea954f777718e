#include "LogLineParser.h"

#include "../Steering/SteeringDecision.h"
#include "../Steering/TagEvent.h"

#include <unordered_map>

namespace buckthornwing {
namespace internal {

namespace json = boost::json;

/// \brief Unix time of the last millisecond of the year 9999. A line with a
/// later time is malformed.
constexpr std::int64_t kMaxTimeMs = 253'402'300'799'999;

/// \returns the string in a field, empty if there is none.
std::string_view
stringField(const json::object& object, std::string_view name)
{
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
           ? std::string_view(value->get_string())
           : std::string_view();
}

/// \returns the integer in a field as milliseconds, nothing if there is none.
std::optional<MilliDuration>
durationField(const json::object& object, std::string_view name)
{
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64()) {
    return std::nullopt;
  }
  return MilliDuration{ value->get_int64() };
}

using LineKinds = std::unordered_map<std::string_view, LineKind>;

LineKinds
makeLineKinds()
{
  return {
    { "start", LineKind::start },
    { "traffic", LineKind::traffic },
    { steeringOutcomeName(SteeringOutcome::reset), LineKind::reset },
    { steeringOutcomeName(SteeringOutcome::hold), LineKind::held },
    { tagEventName(TagEventKind::memberJoined), LineKind::memberJoined },
    { tagEventName(TagEventKind::memberLost), LineKind::memberLost },
    { tagEventName(TagEventKind::membersChanged), LineKind::membersChanged },
    { tagEventName(TagEventKind::storeLost), LineKind::storeLost },
    { tagEventName(TagEventKind::storeRegained), LineKind::storeRegained },
    { tagEventName(TagEventKind::targetSuspected), LineKind::targetSuspected },
    { tagEventName(TagEventKind::targetTrusted), LineKind::targetTrusted },
    { tagEventName(TagEventKind::targetDead), LineKind::targetDead },
    { tagEventName(TagEventKind::targetProbed), LineKind::targetProbed },
    { tagEventName(TagEventKind::paused), LineKind::paused },
  };
}

LineKind
lineKindOf(std::string_view event, std::string_view reason)
{
  static const LineKinds kinds = makeLineKinds();
  if (event == steeringOutcomeName(SteeringOutcome::forward)) {
    return reason == steeringReasonName(SteeringReason::placed)
             ? LineKind::flowPlaced
             : LineKind::other;
  }
  const auto found = kinds.find(event);
  return found != kinds.end() ? found->second : LineKind::other;
}

/// \returns the log line in \a object, whose strings it refers to; nothing if
/// the time, the instance or the event is missing or invalid.
std::optional<LogLine>
readLine(const json::object& object)
{
  const auto time = durationField(object, "time_ms");
  const std::string_view event = stringField(object, "event");
  LogLine line;
  line.instance = stringField(object, "instance");
  if (!time || time->ms < 0 || time->ms > kMaxTimeMs || event.empty() ||
      line.instance.empty()) {
    return std::nullopt;
  }
  line.time = MilliTime{} + *time;
  line.reason = stringField(object, "reason");
  line.kind = lineKindOf(event, line.reason);
  line.subject = stringField(object, "subject");
  line.note = stringField(object, "note");
  line.target = stringField(object, "target");
  line.flow = stringField(object, "flow");
  line.targetsAge = durationField(object, "targets_age_ms");
  line.routesAge = durationField(object, "routes_age_ms");
  line.backlog = durationField(object, "backlog_ms").value_or(MilliDuration{});
  line.tickGap = durationField(object, "tick_gap_ms").value_or(MilliDuration{});
  return line;
}

}

std::optional<LogLine>
LogLineParser::parse(std::string_view text)
{
  const std::size_t start = text.find('{');
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  this->document = nullptr;
  this->memory.release();
  boost::system::error_code error;
  this->document = boost::json::parse(text.substr(start), error, &this->memory);
  if (error || !this->document.is_object()) {
    return std::nullopt;
  }
  return internal::readLine(this->document.get_object());
}

}
