#ifndef BUCKTHORNWING_LINK_BACKLOG_ESTIMATOR_H
#define BUCKTHORNWING_LINK_BACKLOG_ESTIMATOR_H

#include "MilliTime.h"

#include <algorithm>
#include <cstddef>

namespace buckthornwing {

/// \brief Estimates the queueing delay at the sending side of a link whose rate
/// is known.
class LinkBacklogEstimator
{
public:
  /// \param megabits rate of the link in megabits per second; 0 if unknown,
  /// then the estimated delay is always 0
  explicit LinkBacklogEstimator(double megabits)
    : bytesPerMillisecond(megabits * kBytesPerMegabit / kMillisecondsPerSecond)
  {
  }

  /// \brief Adds bytes that were handed to the link to the estimated queue.
  void add(std::size_t bytes, MilliTime now)
  {
    this->drain(now);
    this->queued += static_cast<double>(bytes);
  }

  /// \returns the time until all bytes handed to the link have been sent.
  MilliDuration backlog(MilliTime now)
  {
    this->drain(now);
    return MilliDuration{ this->bytesPerMillisecond > 0
                            ? static_cast<std::int64_t>(
                                this->queued / this->bytesPerMillisecond)
                            : 0 };
  }

  /// \returns the bytes that the link transmits in a span; 0 if its rate is
  /// unknown.
  double capacity(MilliDuration span) const
  {
    return this->bytesPerMillisecond * static_cast<double>(span.ms);
  }

private:
  static constexpr double kBytesPerMegabit = 125000;
  static constexpr double kMillisecondsPerSecond = 1000;

  double bytesPerMillisecond;
  double queued = 0; ///< bytes as of \c drainedAt
  MilliTime drainedAt{};

  void drain(MilliTime now)
  {
    if (now > this->drainedAt) {
      this->queued =
        std::max(0.0, this->queued - this->capacity(now - this->drainedAt));
      this->drainedAt = now;
    }
  }
};

}

#endif
