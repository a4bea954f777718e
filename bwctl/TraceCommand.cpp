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
printForPeople(const std::vector<TraceLine>& lines)
{
  for (const TraceLine& line : lines) {
    std::cout << line.timeMs - lines.front().timeMs << " ms " << line.instance
              << ' ' << line.event << ' ' << line.detail << '\n';
  }
}

void
printForPrograms(const std::vector<TraceLine>& lines)
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
      Error{ "read log", arguments.log, "no readable file" });
  }
  const std::string& requestId = arguments.positional.front();
  const auto lines = traceRequest(log, requestId);
  if (lines.empty()) {
    std::cerr << "bwctl: no line of " << arguments.log << " names request "
              << requestId << '\n';
    return kAnswerIsNo;
  }
  if (arguments.json) {
    printForPrograms(lines);
  } else {
    printForPeople(lines);
  }
  return kGood;
}

}
