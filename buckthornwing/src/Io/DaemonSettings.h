#ifndef BUCKTHORNWING_DAEMON_SETTINGS_H
#define BUCKTHORNWING_DAEMON_SETTINGS_H

#include "../Board/EngineSettings.h"
#include "../Config/Problem.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Settings of an entry daemon: its settings file with the overrides
/// from the command line.
struct DaemonSettings
{
  EngineSettings engine;
  Endpoint dataAddress;          ///< UDP; receives packets from the fabric
  Endpoint operatorsAddress;     ///< TCP; HTTP for operators
  Endpoint configurationService; ///< TCP; the platform's HTTP service
  Endpoint replyAddress;         ///< UDP; forwards refusals to callers
  std::string fleetKey;          ///< secret shared by all instances
  std::string logFile;           ///< empty for standard output
  bool logPlacements = true;     ///< log each placed flow and dropped packet
};

/// \brief Parses the text of a settings file.
/// \param fileName named in the error
/// \returns the settings, or an Error whose cause lists every problem.
boost::leaf::result<DaemonSettings>
parseDaemonSettings(std::string_view text, const std::string& fileName);

/// \brief Reads a whole file.
/// \returns its bytes, or an Error if the file can't be read.
boost::leaf::result<std::string>
readFile(const std::string& fileName);

}

#endif
