#include "Commands.h"
#include "InstanceQuery.h"

#include <src/Io/Error.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <iostream>

namespace buckthornwing::bwctl {
namespace {

/// \brief Prints the most important fields of an instance's answer as text.
void
printText(const boost::json::object& report)
{
  printFields(report,
              { "flow",
                "instance",
                "zone",
                "route",
                "priority",
                "service",
                "outcome",
                "reason",
                "target",
                "targets_revision",
                "targets_age_ms",
                "routes_version",
                "routes_age_ms",
                "evacuated_zones",
                "admission" });
  printRows(report, "candidates");
}

}

boost::leaf::result<int>
explainAtInstance(const Arguments& arguments)
{
  if (!arguments.config.empty() || !arguments.flow.empty()) {
    return boost::leaf::new_error(
      Error{ "read command line",
             arguments.instance,
             "--instance takes --destination and --caller only" });
  }
  BOOST_LEAF_AUTO(instance, readAddress(arguments.instance));
  BOOST_LEAF_AUTO(destination, readAddress(arguments.destination));
  BOOST_LEAF_AUTO(caller, readAddress(arguments.caller));
  BOOST_LEAF_AUTO(
    body,
    queryInstance(instance,
                  "/explain?destination=" + formatEndpoint(destination) +
                    "&caller=" + formatEndpoint(caller)));
  boost::json::error_code code;
  const boost::json::value report = boost::json::parse(body, code);
  if (code || !report.is_object()) {
    return boost::leaf::new_error(
      Error{ "read response", arguments.instance, "expected a JSON object" });
  }
  if (arguments.json) {
    std::cout << body << '\n';
  } else {
    printText(report.get_object());
  }
  const bool isForwarded = report.get_object().contains("outcome") &&
                           report.get_object().at("outcome") == "forward";
  return isForwarded ? kExitSuccess : kExitNegative;
}

}
