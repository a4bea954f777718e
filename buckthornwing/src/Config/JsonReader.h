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

/// \brief Reads the fields of one JSON object and gathers every problem.
///
/// Each read names its field; finish() then reports the fields that nobody
/// read, with the nearest known name as a hint.
class JsonReader
{
public:
  /// \param value the object; any other kind is a problem at \a path
  JsonReader(const boost::json::value& value,
             std::string path,
             Problems& problems);

  /// \returns the field's value; a missing one is a problem if \a required.
  const boost::json::value* field(std::string_view name, bool required);

  /// \returns the field's text, empty with a problem otherwise.
  std::string text(std::string_view name, bool required = true);

  /// \returns the field's number if it lies within the bounds.
  std::uint64_t number(std::string_view name,
                       std::uint64_t least,
                       std::uint64_t most,
                       std::optional<std::uint64_t> fallback = std::nullopt);

  /// \returns the field's number, maybe with a fraction, if it lies within the
  /// bounds.
  double decimal(std::string_view name,
                 double least,
                 double most,
                 double fallback);

  /// \returns the index of the field's text in \a names.
  std::size_t choice(std::string_view name,
                     std::initializer_list<std::string_view> names,
                     std::optional<std::size_t> fallback = std::nullopt);

  /// \returns the field's true or false.
  bool flag(std::string_view name, bool fallback);

  /// \returns the field's IP address.
  IpAddress address(std::string_view name);

  /// \returns the field's "address:port".
  Endpoint endpoint(std::string_view name);

  /// \returns the field's elements; nothing if it is no array.
  const boost::json::array* array(std::string_view name, bool required = true);

  /// \brief Adds a problem at a field.
  void report(std::string_view name, std::string expected);

  /// \brief Reports unknown fields; called last.
  void finish();

  /// \returns the JSON path of a field.
  std::string pathOf(std::string_view name) const;

  /// \returns the JSON path of an element of an array field.
  std::string pathOf(std::string_view name, std::size_t index) const;

private:
  const boost::json::object* object = nullptr;
  std::string path;
  Problems* problems;
  std::vector<std::string> known;
};

/// \returns a short description of a JSON value's kind for messages.
std::string
describeKind(const boost::json::value& value);

/// \returns the member of \a names that is nearest to \a word, or empty text.
std::string
nearestName(std::string_view word, const std::vector<std::string>& names);

}

#endif
