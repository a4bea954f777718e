#include "RequestTrace.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <istream>
#include <set>

namespace buckthornwing {
namespace internal {

namespace json = boost::json;

/// \brief What happened this long before a request's first line may explain it.
constexpr std::int64_t kBeforeMs = 2000;
/// \brief A reset may come this long after a request's last line.
constexpr std::int64_t kAfterMs = 6000;
/// \brief Changes that concern every flow.
constexpr std::array<std::string_view, 8> kCommonEvents{
  "start",          "stop_requested", "routes", "store_lost",
  "store_regained", "paused",         "reload", "lines_left_out"
};

/// \brief What the first reading finds of a request.
struct Subject
{
  std::string id;
  std::string flow;
  std::set<std::string, std::less<>> targets;
  std::int64_t firstMs = 0;
  std::int64_t lastMs = 0;
};

std::string_view
textOf(const json::object& line, std::string_view name)
{
  const json::value* value = line.if_contains(name);
  return value != nullptr && value->is_string()
           ? std::string_view(value->get_string())
           : std::string_view();
}

std::int64_t
timeOf(const json::object& line)
{
  const json::value* value = line.if_contains("time_ms");
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

/// \brief Calls \a take for each line that is a JSON object. Text before the
/// object is left out.
template<typename Take>
void
forEachLine(std::istream& log, Take take)
{
  log.clear();
  log.seekg(0);
  std::string text;
  while (std::getline(log, text)) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    json::error_code code;
    const json::value value =
      json::parse(std::string_view(text).substr(start), code);
    if (!code && value.is_object()) {
      take(value.get_object());
    }
  }
}

Subject
findSubject(std::istream& log, std::string_view requestId)
{
  Subject subject{ std::string(requestId), {}, {}, 0, 0 };
  forEachLine(log, [&](const json::object& line) {
    if (textOf(line, "request") != subject.id) {
      return;
    }
    const std::int64_t time = timeOf(line);
    const bool isFirst = subject.flow.empty();
    subject.flow = textOf(line, "flow");
    subject.firstMs = isFirst ? time : std::min(subject.firstMs, time);
    subject.lastMs = std::max(subject.lastMs, time);
    if (!textOf(line, "target").empty()) {
      subject.targets.emplace(textOf(line, "target"));
    }
  });
  return subject;
}

bool
belongsTo(const Subject& subject, const json::object& line)
{
  const std::int64_t time = timeOf(line);
  if (time < subject.firstMs - kBeforeMs || time > subject.lastMs + kAfterMs) {
    return false;
  }
  if (textOf(line, "flow") == subject.flow) {
    const std::string_view request = textOf(line, "request");
    return request.empty() || request == subject.id;
  }
  const std::string_view event = textOf(line, "event");
  return subject.targets.contains(textOf(line, "subject")) ||
         std::find(kCommonEvents.begin(), kCommonEvents.end(), event) !=
           kCommonEvents.end();
}

TraceLine
describe(const json::object& line)
{
  TraceLine told{ timeOf(line),
                  std::string(textOf(line, "instance")),
                  std::string(textOf(line, "event")),
                  {} };
  for (const auto& field : line) {
    const std::string_view name = field.key();
    if (name == "time_ms" || name == "instance" || name == "event") {
      continue;
    }
    told.detail += told.detail.empty() ? "" : " ";
    told.detail += std::string(name) + "=";
    told.detail += field.value().is_string()
                     ? std::string(field.value().get_string())
                     : json::serialize(field.value());
  }
  return told;
}

}

std::vector<TraceLine>
traceRequest(std::istream& log, std::string_view requestId)
{
  std::vector<TraceLine> lines;
  const internal::Subject subject = internal::findSubject(log, requestId);
  if (subject.flow.empty()) {
    return lines;
  }
  internal::forEachLine(log, [&](const internal::json::object& line) {
    if (internal::belongsTo(subject, line)) {
      lines.push_back(internal::describe(line));
    }
  });
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const TraceLine& left, const TraceLine& right) {
                     return left.timeMs < right.timeMs;
                   });
  return lines;
}

}
