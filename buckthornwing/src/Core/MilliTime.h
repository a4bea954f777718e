#ifndef BUCKTHORNWING_MILLI_TIME_H
#define BUCKTHORNWING_MILLI_TIME_H

#include <compare>
#include <cstdint>

namespace buckthornwing {

/// \brief A span of time in whole milliseconds.
struct MilliDuration
{
  std::int64_t ms = 0;

  auto operator<=>(const MilliDuration&) const = default;
};

/// \brief A point in time of a monotonic clock, in milliseconds since its
/// start.
///
/// The library does not read a clock; callers pass the current time to each
/// call that needs it.
struct MilliTime
{
  std::int64_t ms = 0;

  auto operator<=>(const MilliTime&) const = default;
};

constexpr MilliTime
operator+(MilliTime time, MilliDuration span)
{
  return MilliTime{ time.ms + span.ms };
}

constexpr MilliTime
operator-(MilliTime time, MilliDuration span)
{
  return MilliTime{ time.ms - span.ms };
}

constexpr MilliDuration
operator-(MilliTime later, MilliTime earlier)
{
  return MilliDuration{ later.ms - earlier.ms };
}

constexpr MilliDuration
operator+(MilliDuration left, MilliDuration right)
{
  return MilliDuration{ left.ms + right.ms };
}

namespace literals {

constexpr MilliDuration operator""_ms(unsigned long long ms)
{
  return MilliDuration{ static_cast<std::int64_t>(ms) };
}

constexpr MilliDuration operator""_s(unsigned long long seconds)
{
  return MilliDuration{ static_cast<std::int64_t>(seconds) * 1000 };
}

}
}

#endif
