#ifndef BUCKTHORNWING_DAEMON_SETTINGS_H
#define BUCKTHORNWING_DAEMON_SETTINGS_H

#include "../Board/EngineSettings.h"
#include "../Config/Problem.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Everything an entry daemon is told at its start.
struct DaemonSettings
{
  EngineSettings engine;
  Endpoint dataAddress;      ///< UDP, packets from the fabric
  Endpoint operatorsAddress; ///< TCP, /healthz, /status and /metrics
  Endpoint configurationService;
  Endpoint replyAddress; ///< UDP, takes refusals on their way to callers
  std::string fleetKey;
  std::string logFile; ///< empty means standard output
  bool logPlacements = true;
};

/// \brief Parses a settings file's text.
/// \returns the settings, or an Error whose cause lists every problem
boost::leaf::result<DaemonSettings>
parseDaemonSettings(std::string_view text, const std::string& fileName);

/// \brief Reads a whole file.
boost::leaf::result<std::string>
readFile(const std::string& fileName);

}

#endif
