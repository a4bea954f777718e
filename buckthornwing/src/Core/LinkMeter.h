#ifndef BUCKTHORNWING_LINK_METER_H
#define BUCKTHORNWING_LINK_METER_H

#include "MilliTime.h"

#include <algorithm>
#include <cstddef>

namespace buckthornwing {

/// \brief Estimates how long the newest byte waits at the sending side of a
/// link of known rate.
class LinkMeter
{
public:
  /// \param megabits a second; 0 if unknown, then nothing seems to wait
  explicit LinkMeter(double megabits)
    : bytesPerMilli(megabits * kBytesPerMegabit / kMillisPerSecond)
  {
  }

  /// \brief Notes that bytes were handed to the link.
  void add(std::size_t bytes, MilliTime now)
  {
    this->drain(now);
    this->queued += static_cast<double>(bytes);
  }

  /// \returns the time until all that was handed over has left.
  MilliDuration backlog(MilliTime now)
  {
    this->drain(now);
    return MilliDuration{ this->bytesPerMilli > 0
                            ? static_cast<std::int64_t>(this->queued /
                                                        this->bytesPerMilli)
                            : 0 };
  }

  /// \returns what the link carries in a span; 0 if its rate is unknown.
  double capacity(MilliDuration span) const
  {
    return this->bytesPerMilli * static_cast<double>(span.ms);
  }

private:
  static constexpr double kBytesPerMegabit = 125000;
  static constexpr double kMillisPerSecond = 1000;

  double bytesPerMilli;
  double queued = 0;
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
