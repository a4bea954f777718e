#ifndef BUCKTHORNWING_BWCTL_COMMANDS_H
#define BUCKTHORNWING_BWCTL_COMMANDS_H

#include <src/Io/RunMain.h>

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace buckthornwing::bwctl {

/// \brief Exit status of a command that succeeded.
inline constexpr int kExitSuccess = 0;
/// \brief Exit status of a command that ran, but with a negative result, such
/// as an invalid document or nothing found.
inline constexpr int kExitNegative = 1;
/// \brief Exit status for wrong usage or input that can't be read.
inline constexpr int kExitUsageError = kFailureExit;

/// \brief A parsed command line.
struct Arguments
{
  std::string command;
  std::vector<std::string> positional;
  std::string config;
  std::string service;
  std::string flow;
  std::string instance;    ///< operators' address of a running instance
  std::string destination; ///< address and port that a caller connects to
  std::string caller;      ///< address and port of a caller
  std::string log;
  std::string svg;
  unsigned count = 0; ///< of outputs of watch; 0 means no limit
  bool json = false;
};

/// \brief Parses a command line with TCLAP, which prints the text for --help
/// and --version itself.
/// \returns the arguments, or an error if an option is unknown or malformed or
/// the number of positional arguments is wrong for the command, and also after
/// --help and --version.
boost::leaf::result<Arguments>
parseArguments(int argc, char** argv);

/// \name Commands; each returns the exit status, or an error if its arguments
/// or input can't be read or written.
/// @{
boost::leaf::result<int>
validate(const Arguments& arguments);

boost::leaf::result<int>
select(const Arguments& arguments);

boost::leaf::result<int>
diff(const Arguments& arguments);

boost::leaf::result<int>
explain(const Arguments& arguments);

/// \brief Explains by the state of a running instance instead of a
/// configuration document.
boost::leaf::result<int>
explainAtInstance(const Arguments& arguments);

boost::leaf::result<int>
status(const Arguments& arguments);

boost::leaf::result<int>
trace(const Arguments& arguments);

boost::leaf::result<int>
timeline(const Arguments& arguments);
/// @}

}

#endif
