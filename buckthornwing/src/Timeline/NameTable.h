#ifndef BUCKTHORNWING_NAME_TABLE_H
#define BUCKTHORNWING_NAME_TABLE_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornwing {

/// \brief Index of a name in a \c NameTable.
using NameIndex = std::uint32_t;

/// \brief String interning table: stores each distinct name once and assigns
/// consecutive indices from 0.
class NameTable
{
public:
  /// \returns the index of \a name, which is added if it is new.
  NameIndex indexOf(std::string_view name)
  {
    const auto found = this->indices.find(name);
    if (found != this->indices.end()) {
      return found->second;
    }
    const auto index = static_cast<NameIndex>(this->names.size());
    this->names.emplace_back(name);
    this->indices.emplace(this->names.back(), index);
    return index;
  }

  /// \returns the name with this index; throws \c std::out_of_range if there is
  /// none.
  const std::string& nameOf(NameIndex index) const
  {
    return this->names.at(index);
  }

private:
  /// \brief Names by index. A deque, because the keys of \c indices are views
  /// of its elements, which must not move when it grows.
  std::deque<std::string> names;
  std::unordered_map<std::string_view, NameIndex> indices;
};

}

#endif
