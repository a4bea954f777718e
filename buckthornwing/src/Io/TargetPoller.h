#ifndef BUCKTHORNWING_TARGET_POLLER_H
#define BUCKTHORNWING_TARGET_POLLER_H

#include "../Board/Target.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Address and HTTP path of a target's status endpoint.
struct StatusAddress
{
  Endpoint server;
  std::string path;
};

/// \brief Parses a URL of the form "http://address:port/path".
/// \returns the parts, or nothing if the scheme isn't "http" or the address
/// isn't a numeric IP address with a port. An absent path is "/".
std::optional<StatusAddress>
parseStatusUrl(std::string_view url);

/// \brief Parses the status report of a backend server.
/// \returns the report, or nothing if the text isn't a JSON object. Absent or
/// invalid fields are false or 0.
std::optional<LoadReport>
parseLoadReport(std::string_view text);

/// \brief Requests status reports from targets, with at most one pending
/// request for each target.
class TargetPoller
{
public:
  /// \brief Called with the id and report of a target. If the request failed,
  /// the report says that the target is unreachable.
  using Handler =
    std::function<void(const std::string& id, const LoadReport& report)>;

  TargetPoller(boost::asio::io_context& context, Handler handler);

  /// \brief Starts a request unless one to the same target is pending or the
  /// URL is invalid.
  void poll(const std::string& id, std::string_view url);

private:
  boost::asio::io_context& context;
  Handler handler;
  std::set<std::string> pendingIds;
};

}

#endif
