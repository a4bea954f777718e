#include "RequestTrace.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <istream>
#include <set>

namespace buckthornwing {
namespace internal {

namespace json = boost::json;

/// \brief Time before a request's first line from which lines are included.
/// Changes within it may explain the decisions on the request.
constexpr std::int64_t kLeadMs = 2000;
/// \brief Time after a request's last line up to which lines are included. A
/// reset of the flow may follow this late.
constexpr std::int64_t kTrailMs = 6000;
/// \brief Events that affect every flow of an instance.
constexpr std::array<std::string_view, 9> kCommonEvents{
  "start",     "stop_requested", "routes", "store_lost",    "store_regained",
  "store_era", "paused",         "reload", "lines_left_out"
};

/// \brief Properties of a request, found by the first pass over the log.
struct RequestSummary
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

/// \brief Calls \a handle for each line that ends in a JSON object. Text before
/// the object, such as a log prefix, is skipped.
template<typename Handle>
void
forEachLine(std::istream& log, Handle handle)
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
      handle(value.get_object());
    }
  }
}

RequestSummary
summarizeRequest(std::istream& log, std::string_view requestId)
{
  RequestSummary summary{ std::string(requestId), {}, {}, 0, 0 };
  forEachLine(log, [&](const json::object& line) {
    if (textOf(line, "request") != summary.id) {
      return;
    }
    const std::int64_t time = timeOf(line);
    const bool isFirst = summary.flow.empty();
    summary.flow = textOf(line, "flow");
    summary.firstMs = isFirst ? time : std::min(summary.firstMs, time);
    summary.lastMs = std::max(summary.lastMs, time);
    if (!textOf(line, "target").empty()) {
      summary.targets.emplace(textOf(line, "target"));
    }
  });
  return summary;
}

bool
belongsTo(const RequestSummary& summary, const json::object& line)
{
  const std::int64_t time = timeOf(line);
  if (time < summary.firstMs - kLeadMs || time > summary.lastMs + kTrailMs) {
    return false;
  }
  if (textOf(line, "flow") == summary.flow) {
    const std::string_view request = textOf(line, "request");
    return request.empty() || request == summary.id;
  }
  const std::string_view event = textOf(line, "event");
  return summary.targets.contains(textOf(line, "subject")) ||
         std::find(kCommonEvents.begin(), kCommonEvents.end(), event) !=
           kCommonEvents.end();
}

TraceLine
describe(const json::object& line)
{
  TraceLine traceLine{ timeOf(line),
                       std::string(textOf(line, "instance")),
                       std::string(textOf(line, "event")),
                       {} };
  for (const auto& field : line) {
    const std::string_view name = field.key();
    if (name == "time_ms" || name == "instance" || name == "event") {
      continue;
    }
    traceLine.detail += traceLine.detail.empty() ? "" : " ";
    traceLine.detail += std::string(name) + "=";
    traceLine.detail += field.value().is_string()
                          ? std::string(field.value().get_string())
                          : json::serialize(field.value());
  }
  return traceLine;
}

}

std::vector<TraceLine>
traceRequest(std::istream& log, std::string_view requestId)
{
  std::vector<TraceLine> lines;
  const internal::RequestSummary summary =
    internal::summarizeRequest(log, requestId);
  if (summary.flow.empty()) {
    return lines;
  }
  internal::forEachLine(log, [&](const internal::json::object& line) {
    if (internal::belongsTo(summary, line)) {
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
