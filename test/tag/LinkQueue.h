#ifndef BUCKTHORNWING_TEST_LINK_QUEUE_H
#define BUCKTHORNWING_TEST_LINK_QUEUE_H

#include "VirtualEvents.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace buckthornwing::test {

/// \brief One direction of a link with a fixed rate and a first-in-first-out
/// queue.
class LinkQueue
{
public:
  /// \param megabits rate of the link in Mbit/s
  LinkQueue(VirtualEvents& events, double megabits)
    : events(events)
    , bytesPerMs(megabits * kBitsPerMegabit / kBitsPerByte / kMsPerSecond)
  {
  }

  /// \brief Sends bytes over the link.
  /// \param arrived called when the last byte has passed the link
  void send(std::size_t bytes, std::function<void()> arrived)
  {
    const auto now = static_cast<double>(this->events.now.ms);
    this->freeAt = std::max(this->freeAt, now) +
                   static_cast<double>(bytes) / this->bytesPerMs;
    this->events.after(this->wait(), std::move(arrived));
  }

  /// \returns the time until all queued bytes have passed the link.
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
  double freeAt = 0; ///< time at which the queue is empty, ms of events.now
};

}

#endif
