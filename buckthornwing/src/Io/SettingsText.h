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

/// \returns what is wrong with a text that is not JSON, and in which line.
std::string
describeSyntaxError(std::string_view text);

/// \returns all problems as "path: expectation", separated by semicolons.
std::string
joinProblems(const Problems& problems);

/// \returns the optional setting "seeds", a list of peer addresses. Invalid
/// elements are skipped and added to the problems.
std::vector<Endpoint>
parseSeeds(JsonReader& reader, Problems& problems);

/// \returns the setting "fleet_key". A key that is too short is reported to
/// the reader.
std::string
parseFleetKey(JsonReader& reader);

/// \brief Parses the JSON text of a settings file.
/// \param fileName named in the error
/// \param parseFields reads the settings from a JsonReader and a Problems list
/// \returns the settings, or an Error whose cause lists every problem.
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
    return boost::leaf::new_error(Error{
      step, fileName, "$: expected JSON: " + describeSyntaxError(text) });
  }
  Problems problems;
  JsonReader reader(document, "$", problems);
  Settings settings = parseFields(reader, problems);
  reader.reportUnknownFields();
  if (!problems.empty()) {
    return boost::leaf::new_error(
      Error{ step, fileName, joinProblems(problems) });
  }
  return settings;
}

}

#endif
