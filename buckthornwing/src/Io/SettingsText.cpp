#include "SettingsText.h"

#include <algorithm>
#include <boost/json.hpp>

namespace buckthornwing::internal {
namespace {

/// \brief Minimum length of the fleet key, in bytes. A shorter value is most
/// likely a mistake in the settings file.
constexpr std::size_t kMinKeyBytes = 16;

}

std::string
describeSyntaxError(std::string_view text)
{
  boost::json::stream_parser parser;
  boost::json::error_code code;
  const std::size_t parsed = parser.write_some(text.data(), text.size(), code);
  if (!code) {
    parser.finish(code);
  }
  const std::string_view before = text.substr(0, parsed);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  return code.message() + " in line " + std::to_string(line);
}

std::string
joinProblems(const Problems& problems)
{
  std::string text;
  for (const Problem& problem : problems) {
    text += (text.empty() ? "" : "; ") + problem.path + ": " + problem.expected;
  }
  return text;
}

std::vector<Endpoint>
parseSeeds(JsonReader& reader, Problems& problems)
{
  std::vector<Endpoint> seeds;
  const boost::json::array* texts = reader.array("seeds", false);
  for (std::size_t i = 0; texts != nullptr && i < texts->size(); ++i) {
    const boost::json::string* text = (*texts)[i].if_string();
    const auto endpoint = text == nullptr ? std::nullopt : parseEndpoint(*text);
    if (!endpoint) {
      problems.push_back({ reader.pathOf("seeds", i),
                           "expected \"address:port\" by IP number, found " +
                             describeKind((*texts)[i]) });
      continue;
    }
    seeds.push_back(*endpoint);
  }
  return seeds;
}

std::string
parseFleetKey(JsonReader& reader)
{
  std::string key = reader.text("fleet_key");
  if (!key.empty() && key.size() < kMinKeyBytes) {
    reader.report("fleet_key", "expected at least 16 characters");
  }
  return key;
}

}
