#ifndef BUCKTHORNWING_TAG_SERVER_SETTINGS_H
#define BUCKTHORNWING_TAG_SERVER_SETTINGS_H

#include "../Steering/TagSettings.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief What the log shows besides changes of belief.
enum class TagLogLevel : std::uint8_t
{
  changes,
  decisions, ///< also what was decided on flows and requests
  packets,   ///< also each packet
};

/// \brief Everything a daemon before a tagging fabric is told at its start.
struct TagServerSettings
{
  TagSettings tag;
  Endpoint packetAddress;    ///< UDP, packets of callers
  Endpoint readyAddress;     ///< TCP, the fabric's readiness checks
  Endpoint operatorsAddress; ///< TCP, /status and /metrics
  Endpoint store;            ///< the platform's metadata store
  std::string fleetKey;
  MilliDuration stopWithin{ 6000 }; ///< from the request to stop to the end
  TagLogLevel logLevel = TagLogLevel::decisions;
};

/// \brief Parses a settings file's text.
/// \returns the settings, or an Error whose cause lists every problem
boost::leaf::result<TagServerSettings>
parseTagServerSettings(std::string_view text, const std::string& fileName);

}

#endif
