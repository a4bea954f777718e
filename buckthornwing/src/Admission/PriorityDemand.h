#ifndef BUCKTHORNWING_PRIORITY_DEMAND_H
#define BUCKTHORNWING_PRIORITY_DEMAND_H

#include "../Core/MilliTime.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace buckthornwing {

/// \brief How many new flows callers ask for, by priority. Old ones count less
/// and less.
class PriorityDemand
{
public:
  /// \brief Counts a new flow that a caller asked for.
  void add(std::uint32_t priority, MilliTime now);

  /// \returns the number of priorities above the given one that callers ask
  /// for. One with a small share of the demand is not counted: no room need be
  /// kept for it.
  std::size_t countMoreUrgent(std::uint32_t priority) const;

private:
  std::map<std::uint32_t, double> weights; ///< most urgent first
  MilliTime decayedAt{};

  void decay(MilliTime now);
};

}

#endif
