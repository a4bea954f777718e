#include "DaemonSettings.h"

#include "Error.h"
#include "SettingsText.h"

#include <boost/leaf/error.hpp>
#include <fstream>
#include <sstream>

namespace buckthornwing {
namespace internal {

constexpr std::uint64_t kMaxTransferBytesPerSecond = 1000000000;

DaemonSettings
parseFields(JsonReader& reader, Problems& problems)
{
  DaemonSettings settings;
  settings.engine.id = reader.text("id");
  settings.engine.zone = reader.text("zone");
  settings.engine.peerAddress = reader.endpoint("peer_address");
  settings.dataAddress = reader.endpoint("data_address");
  settings.operatorsAddress = reader.endpoint("operators_address");
  settings.configurationService = reader.endpoint("configuration_service");
  settings.replyAddress = reader.endpoint("reply_address");
  settings.fleetKey = parseFleetKey(reader);
  settings.logFile = reader.text("log_file", false);
  settings.logPlacements =
    reader.choice("log_level", { "placements", "changes" }, 0) == 0;
  settings.engine.transferBytesPerSecond = static_cast<double>(reader.number(
    "transfer_bytes_per_second", 100, kMaxTransferBytesPerSecond, 2500));
  settings.engine.seeds = parseSeeds(reader, problems);
  return settings;
}

}

boost::leaf::result<DaemonSettings>
parseDaemonSettings(std::string_view text, const std::string& fileName)
{
  return internal::parseSettingsText<DaemonSettings>(
    text, fileName, internal::parseFields);
}

boost::leaf::result<std::string>
readFile(const std::string& fileName)
{
  std::ifstream file(fileName, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return boost::leaf::new_error(
      Error{ "read file", fileName, "the file can't be read" });
  }
  return text.str();
}

}
