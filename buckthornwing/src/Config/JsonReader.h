#ifndef BUCKTHORNWING_JSON_READER_H
#define BUCKTHORNWING_JSON_READER_H

#include "../Core/IpAddress.h"
#include "Problem.h"

#include <boost/json/fwd.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Reads the fields of one JSON object and collects all problems.
///
/// Each read function adds its field's name to the known names.
/// reportUnknownFields() then reports every field of the object whose name is
/// not known, and suggests the most similar known name. A read that fails adds
/// a problem and returns the default value that is described at the function.
class JsonReader
{
public:
  /// \param value the JSON object; a value of another kind is reported
  /// \param path the JSON path of \a value
  /// \param problems receives the problems; must outlive this reader
  JsonReader(const boost::json::value& value,
             std::string path,
             Problems& problems);

  /// \returns the field's value, or null if it is missing, which is a problem
  /// if \a required. A JSON null counts as missing.
  const boost::json::value* field(std::string_view name, bool required);

  /// \returns the field's string; empty if it is missing or not a string.
  /// A missing or empty string is a problem if \a required.
  std::string text(std::string_view name, bool required = true);

  /// \returns the field's integer, which may be written as 6.0, if it is from
  /// \a min to \a max, \a min otherwise; \a defaultValue if the field is
  /// missing. A missing field without \a defaultValue is a problem.
  std::uint64_t number(
    std::string_view name,
    std::uint64_t min,
    std::uint64_t max,
    std::optional<std::uint64_t> defaultValue = std::nullopt);

  /// \returns the field's number, which need not be an integer, if it is from
  /// \a min to \a max; \a defaultValue otherwise.
  double decimal(std::string_view name,
                 double min,
                 double max,
                 double defaultValue);

  /// \returns the same as decimal(), and \a defaultValue if the field is a
  /// boolean: it says whether there is a figure, and names none.
  double decimalOrFlag(std::string_view name,
                       double min,
                       double max,
                       double defaultValue);

  /// \returns the index of the field's string in \a names, 0 if it is not among
  /// them; \a defaultValue if the field is missing. A missing field without
  /// \a defaultValue is a problem.
  std::size_t choice(std::string_view name,
                     std::initializer_list<std::string_view> names,
                     std::optional<std::size_t> defaultValue = std::nullopt);

  /// \returns the field's boolean; \a defaultValue if it is missing or of
  /// another kind.
  bool flag(std::string_view name, bool defaultValue);

  /// \returns the field's IP address; a default one if it is missing or
  /// malformed.
  IpAddress address(std::string_view name);

  /// \returns the endpoint given as "address:port"; a default one if the field
  /// is missing or malformed.
  Endpoint endpoint(std::string_view name);

  /// \returns the field's array; null if it is missing, which is a problem if
  /// \a required, or not an array.
  const boost::json::array* array(std::string_view name, bool required = true);

  /// \brief Adds a problem at a field.
  /// \param expected what was expected there, and what was found
  void report(std::string_view name, std::string expected);

  /// \brief Reports unknown fields; to be called after all fields were read.
  void reportUnknownFields();

  /// \returns the JSON path of a field.
  std::string pathOf(std::string_view name) const;

  /// \returns the JSON path of an element of an array field.
  std::string pathOf(std::string_view name, std::size_t index) const;

private:
  const boost::json::object* object = nullptr;
  std::string path;
  Problems* problems;
  std::vector<std::string> knownNames;
};

/// \returns a short description of a JSON value for error messages, such as
/// "an array" or "the number 5".
std::string
describeKind(const boost::json::value& value);

/// \returns the element of \a names with the smallest edit distance to \a word;
/// empty if the distance exceeds half the length of \a word for all of them.
std::string
nearestName(std::string_view word, const std::vector<std::string>& names);

}

#endif
