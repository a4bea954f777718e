#ifndef BUCKTHORNWING_LATENCY_HISTOGRAM_H
#define BUCKTHORNWING_LATENCY_HISTOGRAM_H

#include "../Core/MilliTime.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace buckthornwing {

/// \brief Histogram of durations with fixed buckets.
class LatencyHistogram
{
public:
  /// \brief Inclusive upper bounds of all buckets but the last, in
  /// milliseconds.
  static constexpr std::array<std::int64_t, 11> kBoundsMs{ 1,    5,    10,  25,
                                                           50,   100,  250, 500,
                                                           1000, 2500, 5000 };

  void add(MilliDuration span)
  {
    const auto bound =
      std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), span.ms);
    ++this->buckets[static_cast<std::size_t>(bound - kBoundsMs.begin())];
    this->sumMs += span.ms;
  }

  /// \returns the number of durations in one bucket alone, not cumulative. The
  /// last bucket has no upper bound.
  std::uint64_t sampleCount(std::size_t bucket) const
  {
    return this->buckets[bucket];
  }

  /// \returns the sum of all durations in milliseconds.
  std::int64_t sumOfMs() const { return this->sumMs; }

private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> buckets{};
  std::int64_t sumMs = 0;
};

}

#endif
