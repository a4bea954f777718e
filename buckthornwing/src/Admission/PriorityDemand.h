#ifndef BUCKTHORNWING_PRIORITY_DEMAND_H
#define BUCKTHORNWING_PRIORITY_DEMAND_H

#include "../Core/MilliTime.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace buckthornwing {

/// \brief How many new flows callers ask for, by priority. The weight of a flow
/// decreases exponentially with its age.
class PriorityDemand
{
public:
  /// \brief Counts a new flow that a caller asked for.
  /// \param isAdmitted false: the flow was refused
  void add(std::uint32_t priority, bool isAdmitted, MilliTime now);

  /// \returns the number of priorities above the given one that callers ask
  /// for. One that asks for few flows, compared with those admitted of all
  /// priorities, is not counted: no room need be kept for it. The comparison
  /// leaves out refused flows, because callers repeat them.
  std::size_t countMoreUrgent(std::uint32_t priority) const;

private:
  std::map<std::uint32_t, double> weights; ///< of the flows asked for, by
  ///< priority, most urgent first
  double admitted = 0; ///< weight of the flows that were admitted
  MilliTime decayedAt{};

  void decay(MilliTime now);
};

}

#endif
