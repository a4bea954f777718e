#ifndef BUCKTHORNWING_WALL_CLOCK_H
#define BUCKTHORNWING_WALL_CLOCK_H

#include "../Core/MilliTime.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace buckthornwing {

/// \returns the Unix time in milliseconds. It may jump in either direction when
/// the clock is adjusted.
inline std::int64_t
wallClockMilliseconds()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

/// \returns a monotonic time that goes on while the machine is suspended.
inline MilliTime
bootTime()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1000000;
  return MilliTime{ time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs };
}

}

#endif
