#ifndef BUCKTHORNWING_TALLY_H
#define BUCKTHORNWING_TALLY_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief A name and the number of its occurrences.
struct NamedCount
{
  std::string name;
  std::uint64_t count = 0;
};

/// \brief Counter for each of a few names, sorted by name. Lookups are linear.
class Tally
{
public:
  void add(std::string_view name, std::uint64_t count)
  {
    const auto at =
      std::lower_bound(this->entries.begin(),
                       this->entries.end(),
                       name,
                       [](const NamedCount& entry, std::string_view sought) {
                         return entry.name < sought;
                       });
    if (at != this->entries.end() && at->name == name) {
      at->count += count;
    } else {
      this->entries.insert(at, { std::string(name), count });
    }
  }

  void add(const Tally& other)
  {
    for (const NamedCount& entry : other.entries) {
      this->add(entry.name, entry.count);
    }
  }

  /// \returns the count of \a name, 0 if it was never added.
  std::uint64_t countOf(std::string_view name) const
  {
    for (const NamedCount& entry : this->entries) {
      if (entry.name == name) {
        return entry.count;
      }
    }
    return 0;
  }

  /// \returns all counts, sorted by name.
  const std::vector<NamedCount>& counts() const { return this->entries; }

private:
  std::vector<NamedCount> entries;
};

}

#endif
