#ifndef BUCKTHORNWING_NAME_TABLE_H
#define BUCKTHORNWING_NAME_TABLE_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornwing {

using NameIndex = std::uint32_t;

/// \brief Stores each distinct name once and numbers them from 0.
class NameTable
{
public:
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

  const std::string& nameOf(NameIndex index) const
  {
    return this->names.at(index);
  }

private:
  std::deque<std::string> names; ///< does not move them; the keys are views
  std::unordered_map<std::string_view, NameIndex> indices;
};

}

#endif
