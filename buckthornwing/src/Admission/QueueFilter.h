#ifndef BUCKTHORNWING_QUEUE_FILTER_H
#define BUCKTHORNWING_QUEUE_FILTER_H

#include "../Core/MilliTime.h"

#include <algorithm>
#include <cmath>

namespace buckthornwing {

/// \brief Leaves out queues that only seem to be there for a moment: counts of
/// many instances that are a little old scatter.
///
/// The result is the lower one of the present queue and its moving mean, so it
/// rises slowly at a small queue, fast at a large one, and falls at once.
class QueueFilter
{
public:
  /// \returns the rounds of queued requests that are certain.
  double update(double rounds, MilliTime now)
  {
    const auto age = static_cast<double>((now - this->updatedAt).ms);
    const double weight = 1 - std::exp(-std::max(0.0, age) / kMemoryMs);
    this->mean += weight * (rounds - this->mean);
    this->updatedAt = now;
    return std::min(rounds, this->mean);
  }

private:
  static constexpr double kMemoryMs = 1000;

  double mean = 0;
  MilliTime updatedAt{};
};

}

#endif
