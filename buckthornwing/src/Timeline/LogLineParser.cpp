#include "LogLineParser.h"

#include "../Steering/SteeringDecision.h"
#include "../Steering/TagEvent.h"

#include <unordered_map>

namespace buckthornwing {
namespace internal {

namespace json = boost::json;

/// \brief The last millisecond of the year 9999; later times are malformed.
constexpr std::int64_t kLatestMs = 253'402'300'799'999;

std::string_view
textField(const json::object& object, std::string_view name)
{
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
           ? std::string_view(value->get_string())
           : std::string_view();
}

std::optional<MilliDuration>
spanField(const json::object& object, std::string_view name)
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
             ? LineKind::opening
             : LineKind::other;
  }
  const auto found = kinds.find(event);
  return found != kinds.end() ? found->second : LineKind::other;
}

std::optional<LogLine>
readLine(const json::object& object)
{
  const auto time = spanField(object, "time_ms");
  const std::string_view event = textField(object, "event");
  LogLine line;
  line.instance = textField(object, "instance");
  if (!time || time->ms < 0 || time->ms > kLatestMs || event.empty() ||
      line.instance.empty()) {
    return std::nullopt;
  }
  line.time = MilliTime{} + *time;
  line.reason = textField(object, "reason");
  line.kind = lineKindOf(event, line.reason);
  line.subject = textField(object, "subject");
  line.note = textField(object, "note");
  line.target = textField(object, "target");
  line.flow = textField(object, "flow");
  line.targetsAge = spanField(object, "targets_age_ms");
  line.routesAge = spanField(object, "routes_age_ms");
  line.backlog = spanField(object, "backlog_ms").value_or(MilliDuration{});
  line.tickGap = spanField(object, "tick_gap_ms").value_or(MilliDuration{});
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
