#ifndef BUCKTHORNWING_REQUEST_TRACE_H
#define BUCKTHORNWING_REQUEST_TRACE_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief A log line that tells about a request.
struct TraceLine
{
  std::int64_t timeMs = 0; ///< wall clock
  std::string instance;
  std::string event;
  std::string detail; ///< the other fields as name=value
};

/// \brief Finds what a log tells about one request: each decision on it and on
/// packets of its flow that start no other request, and each change of belief
/// about its targets and the views, from 2 s before to 6 s after. Lines of
/// several instances may be mixed.
/// \param log read twice, from its start
/// \returns the lines by time; none if no line names the request
std::vector<TraceLine>
traceRequest(std::istream& log, std::string_view requestId);

}

#endif
