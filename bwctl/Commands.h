#ifndef BUCKTHORNWING_BWCTL_COMMANDS_H
#define BUCKTHORNWING_BWCTL_COMMANDS_H

#include <src/Io/RunMain.h>

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace buckthornwing::bwctl {

/// \brief Exit statuses of every command.
inline constexpr int kGood = 0;
inline constexpr int kAnswerIsNo = 1;
inline constexpr int kUsageError = kFailureExit;

/// \brief A command line, parsed.
struct Arguments
{
  std::string command;
  std::vector<std::string> positional;
  std::string config;
  std::string service;
  std::string flow;
  std::string log;
  std::string svg;
  unsigned count = 0; ///< of watch; 0 means without end
  bool json = false;
};

/// \brief Parses a command line with TCLAP, which prints usage errors and
/// each command's own help.
boost::leaf::result<Arguments>
parseArguments(int argc, char** argv);

/// \name Commands; each returns the exit status.
/// @{
boost::leaf::result<int>
validate(const Arguments& arguments);

boost::leaf::result<int>
select(const Arguments& arguments);

boost::leaf::result<int>
diff(const Arguments& arguments);

boost::leaf::result<int>
explain(const Arguments& arguments);

boost::leaf::result<int>
status(const Arguments& arguments);

boost::leaf::result<int>
trace(const Arguments& arguments);

boost::leaf::result<int>
timeline(const Arguments& arguments);
/// @}

}

#endif
