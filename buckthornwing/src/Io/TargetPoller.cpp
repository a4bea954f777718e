#include "TargetPoller.h"

#include "HttpClient.h"

#include <boost/json.hpp>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kReportTimeout{ 800 };
constexpr std::size_t kMaxReportBytes = 64UL * 1024;
constexpr unsigned kOk = 200;

std::uint32_t
readCount(const boost::json::object& report, const char* name)
{
  const boost::json::value* value = report.if_contains(name);
  boost::json::error_code code;
  const auto count =
    value == nullptr ? 0 : value->to_number<std::uint32_t>(code);
  return code ? 0 : count;
}

bool
readFlag(const boost::json::object& report, const char* name)
{
  const boost::json::value* value = report.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

}

std::optional<StatusAddress>
parseStatusUrl(std::string_view url)
{
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return std::nullopt;
  }
  url.remove_prefix(kScheme.size());
  const std::size_t slash = url.find('/');
  const auto server = parseEndpoint(url.substr(0, slash));
  if (!server) {
    return std::nullopt;
  }
  const bool hasPath = slash != std::string_view::npos;
  return StatusAddress{ *server,
                        hasPath ? std::string(url.substr(slash)) : "/" };
}

std::optional<LoadReport>
parseLoadReport(std::string_view text)
{
  boost::json::error_code code;
  const boost::json::value value = boost::json::parse(text, code);
  if (code || !value.is_object()) {
    return std::nullopt;
  }
  const boost::json::object& object = value.get_object();
  LoadReport report;
  report.reachable = true;
  report.healthy = internal::readFlag(object, "healthy");
  report.shedding = internal::readFlag(object, "shedding");
  report.connections = internal::readCount(object, "connections");
  report.busySlots = internal::readCount(object, "busy_slots");
  report.queued = internal::readCount(object, "queued");
  return report;
}

TargetPoller::TargetPoller(boost::asio::io_context& context, Handler handler)
  : context(context)
  , handler(std::move(handler))
{
}

void
TargetPoller::poll(const std::string& id, std::string_view url)
{
  const auto address = parseStatusUrl(url);
  if (!address || !this->pendingIds.insert(id).second) {
    return;
  }
  httpGet(this->context,
          address->server,
          address->path,
          internal::kReportTimeout,
          internal::kMaxReportBytes,
          [this, id](const HttpResult& result) {
            this->pendingIds.erase(id);
            std::optional<LoadReport> report;
            if (result.status == internal::kOk) {
              report = parseLoadReport(result.body);
            }
            this->handler(id, report.value_or(LoadReport{}));
          });
}

}
