#include "Commands.h"
#include "InstanceQuery.h"

#include <src/Io/Error.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace buckthornwing::bwctl {
namespace {

namespace json = boost::json;

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
  BOOST_LEAF_AUTO(address, readAddress(arguments.positional.front()));
  const bool watching = arguments.command == "watch";
  for (unsigned shown = 0;;) {
    BOOST_LEAF_AUTO(body, queryInstance(address, "/status"));
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
