#ifndef BUCKTHORNWING_RELATIVE_SERVICE_TIME_H
#define BUCKTHORNWING_RELATIVE_SERVICE_TIME_H

#include "ServiceTimeEstimate.h"
#include "SpeedClass.h"

#include <optional>
#include <span>

namespace buckthornwing {

/// \brief Service time of a target divided by the median of its service's
/// targets; 1 unless they differ by more than chance.
using RelativeServiceTime = double;

/// \returns the class of a relative service time.
constexpr SpeedClass
speedClassOf(RelativeServiceTime relative)
{
  if (relative == 1) {
    return SpeedClass::typical;
  }
  return relative > 1 ? SpeedClass::slower : SpeedClass::faster;
}

/// \returns the median of the service times of one service's targets in ms, the
/// lower one of an even number; nothing if less than two of them are based on
/// enough evidence.
std::optional<double>
medianServiceMs(std::span<const ServiceTimeEstimate> estimates);

/// \returns the relative service time of a target.
/// \param medianMs of its service, see medianServiceMs()
/// \param before its present relative service time; a target that has left 1
/// returns to it later than one that is at 1 leaves it
RelativeServiceTime
relativeServiceTime(const ServiceTimeEstimate& estimate,
                    std::optional<double> medianMs,
                    RelativeServiceTime before);

}

#endif
