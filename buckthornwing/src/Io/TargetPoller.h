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

/// \brief Where a target's status is asked for.
struct StatusAddress
{
  Endpoint server;
  std::string path;
};

/// \brief Parses "http://address:port/path" by IP number.
std::optional<StatusAddress>
parseStatusUrl(std::string_view url);

/// \brief Parses the JSON that a backend server reports of itself.
std::optional<LoadReport>
parseLoadReport(std::string_view text);

/// \brief Asks targets for their status; one request a target at a time.
class TargetPoller
{
public:
  using Handler =
    std::function<void(const std::string& id, const LoadReport& report)>;

  TargetPoller(boost::asio::io_context& context, Handler handler);

  /// \brief Starts a request unless one for the same target is under way.
  void poll(const std::string& id, std::string_view url);

private:
  boost::asio::io_context& context;
  Handler handler;
  std::set<std::string> underWay;
};

}

#endif
