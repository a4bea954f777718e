/// \file
/// \brief Tests of the settings template, filled in with all forms that the
/// platform gives to its figures.

#include <Io>

#include <criterion/criterion.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <fstream>
#include <sstream>
#include <string>

using namespace buckthornwing;

namespace {

/// \returns the value at a path of dots, such as "port_range.0"; null if there
/// is none.
const boost::json::value*
valueAt(const boost::json::value& fields, const std::string& path)
{
  const boost::json::value* at = &fields;
  std::istringstream names(path);
  for (std::string name; at != nullptr && std::getline(names, name, '.');) {
    if (at->is_object()) {
      at = at->get_object().if_contains(name);
    } else if (at->is_array()) {
      at = at->get_array().if_contains(std::stoul(name));
    } else {
      at = nullptr;
    }
  }
  return at == nullptr || at->is_null() ? nullptr : at;
}

/// \returns the text that a placeholder is replaced by.
std::string
textOf(const boost::json::value& fields, const std::string& placeholder)
{
  const std::size_t bar = placeholder.find('|');
  const auto* value = valueAt(fields, placeholder.substr(0, bar));
  if (value == nullptr) {
    return {};
  }
  const bool isPlain = bar == std::string::npos && value->is_string();
  return isPlain ? std::string(value->get_string())
                 : boost::json::serialize(*value);
}

/// \brief Fills in a template as the platform does: values, and sections that
/// are left out if there is no value or if it is false.
std::string
fillIn(const std::string& text, const boost::json::value& fields)
{
  const std::size_t open = text.find("{{");
  if (open == std::string::npos) {
    return text;
  }
  const std::size_t close = text.find("}}", open);
  const std::string name = text.substr(open + 2, close - open - 2);
  const std::string before = text.substr(0, open);
  const std::string after = text.substr(close + 2);
  if (!name.starts_with('#')) {
    return before + textOf(fields, name) + fillIn(after, fields);
  }
  const std::string end = "{{/" + name.substr(1) + "}}";
  const std::size_t stop = after.find(end);
  const auto* value = valueAt(fields, name.substr(1));
  const bool isShown = value != nullptr && *value != boost::json::value(false);
  return before + (isShown ? fillIn(after.substr(0, stop), fields) : "") +
         fillIn(after.substr(stop + end.size()), fields);
}

/// \returns the fields that the platform fills in.
boost::json::object
platformFields()
{
  return boost::json::parse(
           R"({"node":"front-a-1","zone":"a","ip":"10.1.0.10",
  "listen":{"datagram_addr":"10.1.0.10:8172","ready_addr":"10.1.0.10:8167",
    "control":"10.1.0.10:8166"},
  "port_range":[7720,7735],"seeds":["10.1.0.10:8166"],"bootstrap":true,
  "limits":{"cpu_share":0.25,"link_mbps":1000.0},"heartbeat_ms":1200,
  "bounds":{"grace_s":6,"warmup_overage":1.5,"warmup_slack":20},
  "platform":{"address":"10.200.1.7:8169"}})")
    .as_object();
}

/// \brief Result of parsing a filled-in template.
struct Parsed
{
  TagServerSettings settings;
  std::string error; ///< empty if the settings were accepted
};

Parsed
parse(const boost::json::object& fields)
{
  std::ifstream file(SOURCE_DIRECTORY "/platform/settings.template.json");
  std::stringstream text;
  text << file.rdbuf();
  cr_assert_not(text.str().empty());
  const std::string filled = fillIn(text.str(), fields);
  Parsed parsed;
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_ASSIGN(parsed.settings,
                        parseTagServerSettings(filled, "settings"));
      return {};
    },
    [&](const Error& error) { parsed.error = formatError(error); },
    [&] { parsed.error = "unknown"; });
  return parsed;
}

/// \brief A figure of the platform, and the setting that it becomes.
struct Figure
{
  const char* table; ///< of the platform's fields; empty: the outermost one
  const char* name;
  const char* setting;
};

constexpr std::array<Figure, 6> kFigures{
  { { "bounds", "grace_s", "stop_within_s" },
    { "", "heartbeat_ms", "registration_heartbeat_ms" },
    { "limits", "link_mbps", "link_mbps" },
    { "limits", "cpu_share", "cpu_share" },
    { "bounds", "warmup_overage", "warmup_overage" },
    { "bounds", "warmup_slack", "warmup_slack" } }
};

/// \brief Fills in the template with a form of one figure.
/// \param form JSON; empty: the field is missing
Parsed
parseWith(const Figure& figure, const std::string& form)
{
  boost::json::object fields = platformFields();
  boost::json::object& table = std::string(figure.table).empty()
                                 ? fields
                                 : fields[figure.table].as_object();
  if (form.empty()) {
    table.erase(figure.name);
  } else {
    table[figure.name] = boost::json::parse(form);
  }
  return parse(fields);
}

}

/// Guards against processes that never start again because a figure of the
/// platform has another form than before, such as a fraction.
Test(settings_template, each_form_of_a_figure_lets_a_process_start)
{
  for (const Figure& figure : kFigures) {
    for (const char* form :
         { "6", "6.0", "5.5", "333.5", "0.5", "0", "true", "false", "null" }) {
      const Parsed parsed = parseWith(figure, form);
      cr_expect_eq(
        parsed.error, "", "%s %s: %s", figure.name, form, parsed.error.c_str());
    }
    cr_expect_eq(parseWith(figure, "").error, "", "no %s", figure.name);
  }
  cr_expect_eq(parseWith(kFigures[0], "4000").error, "");
  cr_expect_eq(parseWith(kFigures[1], "90000").error, "");
}

Test(settings_template, fractions_count_and_a_boolean_leaves_the_default)
{
  const auto stopTimeout = [](const std::string& form) {
    return parseWith(kFigures[0], form).settings.stopTimeout.ms;
  };
  cr_assert_eq(stopTimeout("5.5"), 5500);
  cr_assert_eq(stopTimeout("6.0"), 6000);
  cr_assert_eq(stopTimeout("4000"), 4000000);
  for (const char* form : { "true", "false", "null", "" }) {
    cr_assert_eq(stopTimeout(form), 6000);
  }
  const auto lifetime = [](const std::string& form) {
    return parseWith(kFigures[1], form).settings.tag.registrationLifetime.ms;
  };
  cr_assert_eq(lifetime("1200"), 4600);
  cr_assert_eq(lifetime("333.5"), 2001);
  cr_assert_eq(lifetime("true"), 7000);
}

Test(settings_template, a_typing_error_is_refused_with_the_name_of_the_setting)
{
  for (const Figure& figure : kFigures) {
    for (const char* form : { "-1", "1e9", "\"\"" }) {
      const std::string error = parseWith(figure, form).error;
      // An empty text leaves nothing behind the name, so the file is not JSON.
      const std::string expected = form[0] == '"'
                                     ? "syntax error in line"
                                     : std::string("$.") + figure.setting;
      cr_expect_neq(error.find(expected),
                    std::string::npos,
                    "%s %s: %s",
                    figure.name,
                    form,
                    error.c_str());
    }
  }
}

Test(settings_template, a_start_without_seeds_or_of_a_running_fleet_is_accepted)
{
  boost::json::object fields = platformFields();
  fields["seeds"] = boost::json::array{};
  fields["bootstrap"] = false;
  const Parsed parsed = parse(fields);
  cr_assert_eq(parsed.error, "");
  cr_assert(parsed.settings.tag.seeds.empty());
  cr_assert_not(parsed.settings.tag.isFirstStart);
}
