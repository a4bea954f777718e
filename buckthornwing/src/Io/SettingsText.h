#ifndef BUCKTHORNWING_SETTINGS_TEXT_H
#define BUCKTHORNWING_SETTINGS_TEXT_H

#include "../Config/JsonReader.h"
#include "Error.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing::internal {

/// \returns all problems as one text.
std::string
joinProblems(const Problems& problems);

/// \returns the setting "seeds", a list of peers' addresses.
std::vector<Endpoint>
parseSeeds(JsonReader& reader, Problems& problems);

/// \returns the setting "fleet_key".
std::string
parseFleetKey(JsonReader& reader);

/// \brief Parses a settings file's text by a function that reads its fields.
/// \returns the settings, or an Error whose cause lists every problem
template<typename Settings, typename ParseFields>
boost::leaf::result<Settings>
parseSettingsText(std::string_view text,
                  const std::string& fileName,
                  ParseFields parseFields)
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
  Settings settings = parseFields(reader, problems);
  reader.finish();
  if (!problems.empty()) {
    return boost::leaf::new_error(
      Error{ step, fileName, joinProblems(problems) });
  }
  return settings;
}

}

#endif
