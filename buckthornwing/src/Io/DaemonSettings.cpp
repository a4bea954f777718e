#include "DaemonSettings.h"

#include "../Config/JsonReader.h"
#include "Error.h"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <sstream>

namespace buckthornwing {
namespace internal {

constexpr std::uint64_t kMostTransferBytes = 1000000000;
/// \brief A shorter secret is a slip, not a key.
constexpr std::size_t kLeastKeyBytes = 16;

std::string
joinProblems(const Problems& problems)
{
  std::string text;
  for (const Problem& problem : problems) {
    text += (text.empty() ? "" : "; ") + problem.path + ": " + problem.expected;
  }
  return text;
}

void
parseSeeds(JsonReader& reader, DaemonSettings& settings, Problems& problems)
{
  const boost::json::array* seeds = reader.array("seeds", false);
  for (std::size_t i = 0; seeds != nullptr && i < seeds->size(); ++i) {
    const boost::json::string* text = (*seeds)[i].if_string();
    const auto endpoint = text == nullptr ? std::nullopt : parseEndpoint(*text);
    if (!endpoint) {
      problems.push_back({ reader.pathOf("seeds", i),
                           "expected \"address:port\" by IP number, found " +
                             describeKind((*seeds)[i]) });
      continue;
    }
    settings.engine.seeds.push_back(*endpoint);
  }
}

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
  settings.fleetKey = reader.text("fleet_key");
  if (!settings.fleetKey.empty() && settings.fleetKey.size() < kLeastKeyBytes) {
    reader.report("fleet_key", "expected at least 16 characters");
  }
  settings.logFile = reader.text("log_file", false);
  settings.logPlacements =
    reader.choice("log_level", { "placements", "changes" }, 0) == 0;
  settings.engine.transferBytesPerSecond = static_cast<double>(
    reader.number("transfer_bytes_per_second", 100, kMostTransferBytes, 2500));
  parseSeeds(reader, settings, problems);
  return settings;
}

}

boost::leaf::result<DaemonSettings>
parseDaemonSettings(std::string_view text, const std::string& fileName)
{
  const std::string step = "read settings";
  boost::json::error_code code;
  const boost::json::value document = boost::json::parse(text, code);
  if (code) {
    return boost::leaf::new_error(
      Error{ step, fileName, "$: expected JSON: " + code.message() });
  }
  Problems problems;
  JsonReader reader(document, "$", problems);
  DaemonSettings settings = internal::parseFields(reader, problems);
  reader.finish();
  if (!problems.empty()) {
    return boost::leaf::new_error(
      Error{ step, fileName, internal::joinProblems(problems) });
  }
  return settings;
}

boost::leaf::result<std::string>
readFile(const std::string& fileName)
{
  std::ifstream file(fileName, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return boost::leaf::new_error(
      Error{ "read file", fileName, "it can't be read" });
  }
  return text.str();
}

}
