#include "JsonReader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace buckthornwing {
namespace internal {

/// \returns the Levenshtein distance of two words.
std::size_t
editDistance(std::string_view left, std::string_view right)
{
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j < row.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t change = left[i - 1] == right[j - 1] ? 0 : 1;
      row[j] = std::min({ above + 1, row[j - 1] + 1, diagonal + change });
      diagonal = above;
    }
  }
  return row.back();
}

/// \returns a number without an exponent where it is short enough.
std::string
formatDecimal(double number)
{
  std::ostringstream text;
  text << number;
  return text.str();
}

}

std::string
describeKind(const boost::json::value& value)
{
  switch (value.kind()) {
    case boost::json::kind::null:
      return "null";
    case boost::json::kind::bool_:
      return "a boolean";
    case boost::json::kind::int64:
    case boost::json::kind::uint64:
      return "the number " + boost::json::serialize(value);
    case boost::json::kind::double_:
      return "the number " + internal::formatDecimal(value.get_double());
    case boost::json::kind::string:
      return "the string " + boost::json::serialize(value);
    case boost::json::kind::array:
      return "an array";
    case boost::json::kind::object:
      return "an object";
  }
  return "a value";
}

std::string
nearestName(std::string_view word, const std::vector<std::string>& names)
{
  std::string best;
  // A name that differs in more than half of the word's length is unlikely to
  // be a misspelling.
  std::size_t maxDistance = word.size() / 2 + 1;
  for (const std::string& name : names) {
    const std::size_t distance = internal::editDistance(word, name);
    if (distance < maxDistance) {
      maxDistance = distance;
      best = name;
    }
  }
  return best;
}

JsonReader::JsonReader(const boost::json::value& value,
                       std::string path,
                       Problems& problems)
  : object(value.if_object())
  , path(std::move(path))
  , problems(&problems)
{
  if (this->object == nullptr) {
    this->problems->push_back(
      { this->path, "expected an object, found " + describeKind(value) });
  }
}

std::string
JsonReader::pathOf(std::string_view name) const
{
  return this->path + "." + std::string(name);
}

std::string
JsonReader::pathOf(std::string_view name, std::size_t index) const
{
  return this->pathOf(name) + "[" + std::to_string(index) + "]";
}

void
JsonReader::report(std::string_view name, std::string expected)
{
  this->problems->push_back({ this->pathOf(name), std::move(expected) });
}

const boost::json::value*
JsonReader::field(std::string_view name, bool required)
{
  this->knownNames.emplace_back(name);
  if (this->object == nullptr) {
    return nullptr;
  }
  const boost::json::value* value = this->object->if_contains(name);
  const bool isMissing = value == nullptr || value->is_null();
  if (isMissing && required) {
    this->report(name, "expected a value for this required field, found none");
  }
  return isMissing ? nullptr : value;
}

std::string
JsonReader::text(std::string_view name, bool required)
{
  const boost::json::value* value = this->field(name, required);
  if (value == nullptr) {
    return {};
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr) {
    this->report(name, "expected a string, found " + describeKind(*value));
    return {};
  }
  if (text->empty() && required) {
    this->report(name, "expected a non-empty string");
  }
  return std::string(*text);
}

std::uint64_t
JsonReader::number(std::string_view name,
                   std::uint64_t min,
                   std::uint64_t max,
                   std::optional<std::uint64_t> defaultValue)
{
  const boost::json::value* value = this->field(name, !defaultValue);
  if (value == nullptr) {
    return defaultValue.value_or(min);
  }
  boost::json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error || number < min || number > max) {
    this->report(name,
                 "expected an integer from " + std::to_string(min) + " to " +
                   std::to_string(max) + ", found " + describeKind(*value));
    return min;
  }
  return number;
}

double
JsonReader::decimal(std::string_view name,
                    double min,
                    double max,
                    double defaultValue)
{
  const boost::json::value* value = this->field(name, false);
  if (value == nullptr) {
    return defaultValue;
  }
  boost::json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || number < min || number > max) {
    this->report(name,
                 "expected a number from " + std::to_string(min) + " to " +
                   std::to_string(max) + ", found " + describeKind(*value));
    return defaultValue;
  }
  return number;
}

double
JsonReader::decimalOrFlag(std::string_view name,
                          double min,
                          double max,
                          double defaultValue)
{
  const boost::json::value* value = this->field(name, false);
  const bool isFlag = value != nullptr && value->is_bool();
  return isFlag ? defaultValue : this->decimal(name, min, max, defaultValue);
}

std::size_t
JsonReader::choice(std::string_view name,
                   std::initializer_list<std::string_view> names,
                   std::optional<std::size_t> defaultValue)
{
  const boost::json::value* value = this->field(name, !defaultValue);
  if (value == nullptr) {
    return defaultValue.value_or(0);
  }
  std::string expected = "expected one of";
  const boost::json::string* text = value->if_string();
  std::size_t index = 0;
  for (const std::string_view candidate : names) {
    if (text != nullptr && std::string_view(*text) == candidate) {
      return index;
    }
    expected += " \"" + std::string(candidate) + "\"";
    ++index;
  }
  this->report(name, expected + ", found " + describeKind(*value));
  return 0;
}

bool
JsonReader::flag(std::string_view name, bool defaultValue)
{
  const boost::json::value* value = this->field(name, false);
  if (value == nullptr) {
    return defaultValue;
  }
  if (!value->is_bool()) {
    this->report(name, "expected true or false, found " + describeKind(*value));
    return defaultValue;
  }
  return value->as_bool();
}

IpAddress
JsonReader::address(std::string_view name)
{
  const std::string text = this->text(name);
  const std::optional<IpAddress> address = parseIpAddress(text);
  if (!address && !text.empty()) {
    this->report(name, "expected an IP address, found \"" + text + "\"");
  }
  return address.value_or(IpAddress{});
}

Endpoint
JsonReader::endpoint(std::string_view name)
{
  const std::string text = this->text(name);
  const std::optional<Endpoint> endpoint = parseEndpoint(text);
  if (!endpoint && !text.empty()) {
    this->report(
      name,
      "expected \"address:port\" with a numeric IP address, found \"" + text +
        "\"");
  }
  return endpoint.value_or(Endpoint{});
}

const boost::json::array*
JsonReader::array(std::string_view name, bool required)
{
  const boost::json::value* value = this->field(name, required);
  if (value == nullptr) {
    return nullptr;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    this->report(name, "expected an array, found " + describeKind(*value));
  }
  return array;
}

void
JsonReader::reportUnknownFields()
{
  if (this->object == nullptr) {
    return;
  }
  for (const auto& member : *this->object) {
    const std::string name(member.key());
    if (std::find(this->knownNames.begin(), this->knownNames.end(), name) !=
        this->knownNames.end()) {
      continue;
    }
    const std::string suggestion = nearestName(name, this->knownNames);
    this->report(
      name,
      "unknown field" +
        (suggestion.empty() ? "" : "; did you mean \"" + suggestion + "\"?"));
  }
}

}
