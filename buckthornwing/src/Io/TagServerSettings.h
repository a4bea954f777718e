#ifndef BUCKTHORNWING_TAG_SERVER_SETTINGS_H
#define BUCKTHORNWING_TAG_SERVER_SETTINGS_H

#include "../Steering/TagSettings.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Verbosity of the log. Each level includes those before it.
enum class TagLogLevel : std::uint8_t
{
  changes,   ///< events of the process and state changes of the engine
  decisions, ///< decisions on flows and requests, and packets not forwarded
  packets,   ///< the decision on every packet
};

/// \brief Settings of a daemon behind a tagging fabric.
struct TagServerSettings
{
  TagSettings tag;
  Endpoint packetAddress;    ///< UDP; receives packets of callers
  Endpoint readyAddress;     ///< TCP; HTTP readiness checks of the fabric
  Endpoint operatorsAddress; ///< TCP; HTTP for operators
  Endpoint store;            ///< the platform's metadata store
  std::string fleetKey;      ///< secret shared by all instances
  MilliDuration stopTimeout{ 6000 }; ///< time limit of a planned stop
  TagLogLevel logLevel = TagLogLevel::decisions;
};

/// \brief Parses the text of a settings file.
/// \param fileName named in the error
/// \returns the settings, or an Error whose cause lists every problem.
boost::leaf::result<TagServerSettings>
parseTagServerSettings(std::string_view text, const std::string& fileName);

}

#endif
