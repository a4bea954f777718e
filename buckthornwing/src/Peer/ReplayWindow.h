#ifndef BUCKTHORNWING_REPLAY_WINDOW_H
#define BUCKTHORNWING_REPLAY_WINDOW_H

#include <cstdint>

namespace buckthornwing {

/// \brief Sliding window over a sender's counters that rejects replays.
struct ReplayWindow
{
  /// Number of counters in the window. Counters that are this far or farther
  /// behind the newest are always rejected.
  static constexpr std::uint64_t kWidth = 64;

  std::uint64_t newest = 0; ///< largest accepted counter
  std::uint64_t seen = 0;   ///< bit i: counter newest - i was accepted

  /// \brief Records a counter.
  /// \returns whether it is not older than the window and was not accepted
  /// before
  bool accept(std::uint64_t counter)
  {
    if (counter > this->newest) {
      const std::uint64_t step = counter - this->newest;
      this->seen = step >= kWidth ? 0 : this->seen << step;
      this->seen |= 1U;
      this->newest = counter;
      return true;
    }
    const std::uint64_t behind = this->newest - counter;
    if (behind >= kWidth || (this->seen >> behind & 1U) != 0) {
      return false;
    }
    this->seen |= std::uint64_t{ 1 } << behind;
    return true;
  }
};

}

#endif
