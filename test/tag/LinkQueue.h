#ifndef BUCKTHORNWING_TEST_LINK_QUEUE_H
#define BUCKTHORNWING_TEST_LINK_QUEUE_H

#include "VirtualEvents.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace buckthornwing::test {

/// \brief One direction of a link: what enters waits for all before it.
class LinkQueue
{
public:
  LinkQueue(VirtualEvents& events, double megabits)
    : events(events)
    , bytesPerMs(megabits * kBitsPerMegabit / kBitsPerByte / kMsPerSecond)
  {
  }

  void pass(std::size_t bytes, std::function<void()> arrived)
  {
    const auto now = static_cast<double>(this->events.now.ms);
    this->freeAt = std::max(this->freeAt, now) +
                   static_cast<double>(bytes) / this->bytesPerMs;
    this->events.after(this->wait(), std::move(arrived));
  }

  /// \returns the time until all that has entered is through.
  MilliDuration wait() const
  {
    const auto free = static_cast<std::int64_t>(std::ceil(this->freeAt));
    return MilliDuration{ std::max(free - this->events.now.ms,
                                   std::int64_t{ 0 }) };
  }

private:
  static constexpr double kBitsPerMegabit = 1e6;
  static constexpr double kBitsPerByte = 8;
  static constexpr double kMsPerSecond = 1000;

  VirtualEvents& events;
  double bytesPerMs;
  double freeAt = 0; ///< milliseconds of the events' clock
};

}

#endif
