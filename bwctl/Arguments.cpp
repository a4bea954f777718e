#include "Commands.h"

#include <src/Io/Error.h>

#include <boost/leaf/error.hpp>
#include <tclap/CmdLine.h>

namespace buckthornwing::bwctl {
namespace {

/// \returns the minimum number of positional arguments of a command.
std::size_t
positionalCount(const std::string& command)
{
  if (command == "diff") {
    return 2;
  }
  return command == "select" || command == "explain" ? 0 : 1;
}

}

boost::leaf::result<Arguments>
parseArguments(int argc, char** argv)
{
  TCLAP::CmdLine line("The operators' client of buckthornwing", ' ', "0.1");
  TCLAP::UnlabeledValueArg<std::string> command(
    "command", "see bwctl --help", true, "", "COMMAND", line);
  TCLAP::ValueArg<std::string> config(
    "", "config", "configuration document", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> service(
    "", "service", "a service's name", false, "", "NAME", line);
  TCLAP::ValueArg<std::string> flow(
    "", "flow", "\"protocol source destination\"", false, "", "FLOW", line);
  TCLAP::ValueArg<std::string> instance("",
                                        "instance",
                                        "of explain: a running instance",
                                        false,
                                        "",
                                        "ADDRESS:PORT",
                                        line);
  TCLAP::ValueArg<std::string> destination("",
                                           "destination",
                                           "of explain: a route's address",
                                           false,
                                           "",
                                           "ADDRESS:PORT",
                                           line);
  TCLAP::ValueArg<std::string> caller("",
                                      "caller",
                                      "of explain: a caller's address",
                                      false,
                                      "",
                                      "ADDRESS:PORT",
                                      line);
  TCLAP::ValueArg<std::string> log(
    "", "log", "log of one or more instances", false, "", "FILE", line);
  TCLAP::ValueArg<std::string> svg(
    "", "svg", "of timeline: the picture to write", false, "", "FILE", line);
  TCLAP::ValueArg<unsigned> count(
    "", "count", "of watch: times to show", false, 0, "N", line);
  TCLAP::SwitchArg json("", "json", "print JSON", line, false);
  TCLAP::UnlabeledMultiArg<std::string> positional(
    "arguments", "files or addresses", false, "ARGUMENT", line);
  line.setExceptionHandling(false);
  try {
    line.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    return boost::leaf::new_error(
      Error{ "read command line", error.argId(), error.error() });
  } catch (const TCLAP::ExitException&) {
    return boost::leaf::new_error(
      Error{ "read command line", "bwctl", "see bwctl --help" });
  }
  Arguments arguments{ command.getValue(),     positional.getValue(),
                       config.getValue(),      service.getValue(),
                       flow.getValue(),        instance.getValue(),
                       destination.getValue(), caller.getValue(),
                       log.getValue(),         svg.getValue(),
                       count.getValue(),       json.getValue() };
  const std::size_t expected = positionalCount(arguments.command);
  const std::size_t given = arguments.positional.size();
  const bool acceptsMore = arguments.command == "timeline" && given > expected;
  if (given != expected && !acceptsMore) {
    return boost::leaf::new_error(Error{ "read command line",
                                         arguments.command,
                                         "expected " +
                                           std::to_string(expected) +
                                           " argument(s); see bwctl --help" });
  }
  return arguments;
}

}
