#ifndef BUCKTHORNWING_REQUEST_TRACE_H
#define BUCKTHORNWING_REQUEST_TRACE_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief One log line of a request's trace.
struct TraceLine
{
  std::int64_t timeMs = 0; ///< wall-clock time, in milliseconds
  std::string instance;
  std::string event;
  std::string detail; ///< the other fields as "name=value", separated by spaces
};

/// \brief Finds the log lines that concern one request.
///
/// These are the decisions on the request, the decisions on packets of its flow
/// that start no other request, and the state changes of its targets and of
/// the views, from 2 s before the request's first line to 6 s after its last.
/// The log may hold lines of several instances in any order.
/// \param log seekable; read twice from its start
/// \returns the lines in order of time; empty if no line names the request.
std::vector<TraceLine>
traceRequest(std::istream& log, std::string_view requestId);

}

#endif
