/// \file
/// \brief Command-line client for operators: runs the command that is given.

#include "Commands.h"

#include <boost/leaf.hpp>
#include <iostream>

namespace buckthornwing::bwctl {
namespace {

constexpr const char* kUsage =
  R"(bwctl: the operators' client of buckthornwing

  bwctl validate FILE
      checks a configuration document and prints every problem
  bwctl select --config FILE --service NAME
      prints the ids of the targets that a service selects, sorted
  bwctl diff OLD NEW
      shows which services gain or lose which targets, and the share of new
      flows that moves: run it before publishing NEW
  bwctl explain --config FILE --flow "tcp 198.51.100.7:40001 203.0.113.10:443"
      prints where a new flow goes by the table, and each step to it
  bwctl explain --instance ADDRESS:PORT --destination ADDRESS:PORT
                --caller ADDRESS:PORT
      asks a running buckthornwing-platform, by its operators' address, what it
      would do with a new flow now and why; sends and changes nothing
  bwctl status ADDRESS:PORT
      shows a running instance, by its operators' address
  bwctl watch ADDRESS:PORT [--count N]
      shows it again every second
  bwctl trace --log FILE REQUEST-ID
      traces a request through the log of one or more instances: each
      decision on its flow, and what was known of its targets meanwhile
  bwctl timeline [--svg FILE] LOG...
      counts what all instances logged by second and availability zone, names
      what stands out, and lists the targets found dead and who contradicts it;
      --svg draws the counts as well

Each command takes --json for output that programs read.
Exit status: 0 success, 1 negative result, 2 wrong usage or input.

Examples:
  bwctl validate examples/himalflow/config.json
  bwctl select --config examples/himalflow/config.json --service booking
  bwctl diff config.json next.json && cp next.json /published/config.json
  bwctl status 127.0.0.1:21501 --json
)";

boost::leaf::result<int>
dispatch(const Arguments& arguments)
{
  const std::string& name = arguments.command;
  if (name == "validate") {
    return validate(arguments);
  }
  if (name == "select") {
    return select(arguments);
  }
  if (name == "diff") {
    return diff(arguments);
  }
  if (name == "explain") {
    return explain(arguments);
  }
  if (name == "status" || name == "watch") {
    return status(arguments);
  }
  if (name == "trace") {
    return trace(arguments);
  }
  if (name == "timeline") {
    return timeline(arguments);
  }
  return boost::leaf::new_error(
    Error{ "read command line", name, "unknown command; see bwctl --help" });
}

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  using namespace buckthornwing::bwctl;
  const bool help = argc > 1 && (std::string(argv[1]) == "--help" ||
                                 std::string(argv[1]) == "-h" ||
                                 std::string(argv[1]) == "help");
  if (argc < 2 || help) {
    (help ? std::cout : std::cerr) << kUsage;
    return help ? kExitSuccess : kExitUsageError;
  }
  return runMain("bwctl", [&]() -> boost::leaf::result<int> {
    BOOST_LEAF_AUTO(arguments, parseArguments(argc, argv));
    return dispatch(arguments);
  });
}
