#include "Commands.h"

#include <src/Io/Error.h>
#include <src/Io/RequestTrace.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <fstream>
#include <iostream>

namespace buckthornwing::bwctl {
namespace {

void
printText(const std::vector<TraceLine>& lines)
{
  for (const TraceLine& line : lines) {
    std::cout << line.timeMs - lines.front().timeMs << " ms " << line.instance
              << ' ' << line.event << ' ' << line.detail << '\n';
  }
}

void
printJson(const std::vector<TraceLine>& lines)
{
  boost::json::array rows;
  for (const TraceLine& line : lines) {
    rows.push_back({ { "time_ms", line.timeMs },
                     { "instance", line.instance },
                     { "event", line.event },
                     { "detail", line.detail } });
  }
  std::cout << boost::json::serialize(rows) << '\n';
}

}

boost::leaf::result<int>
trace(const Arguments& arguments)
{
  std::ifstream log(arguments.log);
  if (!log) {
    return boost::leaf::new_error(
      Error{ "read log", arguments.log, "cannot open the file" });
  }
  const std::string& requestId = arguments.positional.front();
  const auto lines = traceRequest(log, requestId);
  if (lines.empty()) {
    std::cerr << "bwctl: no line in " << arguments.log << " mentions request "
              << requestId << '\n';
    return kExitNegative;
  }
  if (arguments.json) {
    printJson(lines);
  } else {
    printText(lines);
  }
  return kExitSuccess;
}

}
