#ifndef BUCKTHORNWING_REPLAY_WINDOW_H
#define BUCKTHORNWING_REPLAY_WINDOW_H

#include <cstdint>

namespace buckthornwing {

/// \brief Accepts each counter of a sender once, within a sliding window.
struct ReplayWindow
{
  /// Counters this far behind the newest are refused unseen.
  static constexpr std::uint64_t kWidth = 64;

  std::uint64_t newest = 0;
  std::uint64_t seen = 0; ///< bit i stands for counter newest - i

  /// \returns whether the counter is new.
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
