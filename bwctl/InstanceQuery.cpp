#include "InstanceQuery.h"

#include <src/Io/Error.h>
#include <src/Io/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <iostream>

namespace buckthornwing::bwctl {
namespace {

namespace json = boost::json;

constexpr MilliDuration kResponseTimeout{ 3000 };
constexpr std::size_t kMaxBodyBytes = 16UL * 1024 * 1024;
constexpr unsigned kHttpOk = 200;

}

boost::leaf::result<Endpoint>
readAddress(const std::string& argument)
{
  const auto address = parseEndpoint(argument);
  if (!address) {
    return boost::leaf::new_error(
      Error{ "read command line", argument, "expected address:port" });
  }
  return *address;
}

boost::leaf::result<std::string>
queryInstance(const Endpoint& address, const std::string& path)
{
  boost::asio::io_context context;
  HttpResult response;
  httpGet(context,
          address,
          path,
          kResponseTimeout,
          kMaxBodyBytes,
          [&](HttpResult result) { response = std::move(result); });
  context.run();
  if (response.status != kHttpOk) {
    return boost::leaf::new_error(Error{ "query " + path,
                                         formatEndpoint(address),
                                         response.failure.empty()
                                           ? "HTTP status " +
                                               std::to_string(response.status) +
                                               ": " + response.body
                                           : response.failure });
  }
  return response.body;
}

void
printFields(const json::object& document,
            std::initializer_list<const char*> names)
{
  for (const char* name : names) {
    if (const json::value* value = document.if_contains(name)) {
      std::cout << name << ": " << json::serialize(*value) << '\n';
    }
  }
}

void
printRows(const json::object& document, const char* name)
{
  const json::value* rows = document.if_contains(name);
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

}
