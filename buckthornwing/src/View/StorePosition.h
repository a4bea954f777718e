#ifndef BUCKTHORNWING_STORE_POSITION_H
#define BUCKTHORNWING_STORE_POSITION_H

#include <compare>
#include <cstdint>
#include <string>

namespace buckthornwing {

/// \brief Number of times that the store has come back from an older copy of
/// its data. Revisions after the copy's are given out again in each era.
using StoreEra = std::uint64_t;

/// \brief Version of one change in the store.
struct ChangeVersion
{
  StoreEra era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const ChangeVersion&) const = default;
};

/// \brief Position in the store's history. Whoever holds a position has applied
/// every change up to it.
///
/// It is deliberately not comparable to a ChangeVersion: that a change was
/// received does not mean that the changes before it were.
struct StorePosition
{
  StoreEra era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;

  /// \returns whether a change is up to this position.
  bool covers(const ChangeVersion& version) const
  {
    return version <= ChangeVersion{ this->era, this->revision };
  }
};

/// \returns a position as text for the log.
inline std::string
formatStorePosition(const StorePosition& position)
{
  return "era " + std::to_string(position.era) + " revision " +
         std::to_string(position.revision);
}

}

#endif
