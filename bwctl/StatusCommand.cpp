#include "Commands.h"

#include <src/Io/Error.h>
#include <src/Io/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace buckthornwing::bwctl {
namespace {

namespace json = boost::json;

constexpr MilliDuration kResponseTimeout{ 3000 };
constexpr std::size_t kMaxStatusBytes = 16UL * 1024 * 1024;
constexpr unsigned kHttpOk = 200;

/// \returns the body of an instance's response to a request for its status, or
/// an error if the request failed or the HTTP status isn't 200.
boost::leaf::result<std::string>
fetchStatus(const Endpoint& address)
{
  boost::asio::io_context context;
  HttpResult response;
  httpGet(context,
          address,
          "/status",
          kResponseTimeout,
          kMaxStatusBytes,
          [&](HttpResult result) { response = std::move(result); });
  context.run();
  if (response.status != kHttpOk) {
    return boost::leaf::new_error(
      Error{ "query status",
             formatEndpoint(address),
             response.failure.empty()
               ? "HTTP status " + std::to_string(response.status)
               : response.failure });
  }
  return response.body;
}

/// \brief Prints those of the named fields that exist, one a line.
void
printFields(const json::object& status,
            std::initializer_list<const char*> names)
{
  for (const char* name : names) {
    if (const json::value* value = status.if_contains(name)) {
      std::cout << name << ": " << json::serialize(*value) << '\n';
    }
  }
}

/// \brief Prints an array of objects, one object per line.
void
printRows(const json::object& status, const char* name)
{
  const json::value* rows = status.if_contains(name);
  if (rows == nullptr || !rows->is_array() || rows->get_array().empty()) {
    return;
  }
  std::cout << name << ":\n";
  for (const json::value& row : rows->get_array()) {
    std::cout << "  ";
    if (!row.is_object()) {
      std::cout << json::serialize(row) << '\n';
      continue;
    }
    for (const auto& field : row.get_object()) {
      std::cout << field.key() << '=' << json::serialize(field.value()) << ' ';
    }
    std::cout << '\n';
  }
}

/// \brief Prints the most important fields of a status as text.
/// \param body the status in JSON; printed unchanged if it can't be parsed
void
printText(const std::string& body)
{
  json::error_code code;
  const json::value value = json::parse(body, code);
  if (code || !value.is_object()) {
    std::cout << body << '\n';
    return;
  }
  const json::object& status = value.get_object();
  printFields(status,
              { "id",
                "zone",
                "state",
                "trusted",
                "revision",
                "revision_age_ms",
                "platform_heard_ms_ago",
                "stopping",
                "routes_version",
                "routes_age_ms",
                "evacuated_zones",
                "targets_revision",
                "targets_age_ms",
                "tracked_flows",
                "outcomes",
                "store_calls",
                "slots",
                "flow_entries",
                "packets",
                "forwarded",
                "relayed",
                "refused",
                "dropped",
                "placed",
                "transport" });
  printRows(status, "configuration_problems");
  printRows(status, "peers");
  printRows(status, "services");
  printRows(status, "targets");
}

}

boost::leaf::result<int>
status(const Arguments& arguments)
{
  const std::string& text = arguments.positional.front();
  const auto address = parseEndpoint(text);
  if (!address) {
    return boost::leaf::new_error(
      Error{ "read command line", text, "expected address:port" });
  }
  const bool watching = arguments.command == "watch";
  for (unsigned shown = 0;;) {
    BOOST_LEAF_AUTO(body, fetchStatus(*address));
    if (arguments.json) {
      std::cout << body << '\n';
    } else {
      printText(body);
    }
    std::cout << std::flush;
    ++shown;
    if (!watching || shown == arguments.count) {
      return kExitSuccess;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

}
