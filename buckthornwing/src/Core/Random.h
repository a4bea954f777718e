#ifndef BUCKTHORNWING_RANDOM_H
#define BUCKTHORNWING_RANDOM_H

#include "Assert.h"
#include "Hash.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Pseudorandom number generator; one seed gives the same sequence on
/// every platform.
struct Random
{
  std::uint64_t state = 0; ///< initially the seed

  /// \returns the next 64 random bits.
  std::uint64_t next()
  {
    return mixWords(++this->state, 0x2545f4914f6cdd1dULL);
  }

  /// \returns an integer in [0, bound).
  /// \param bound must be above zero
  std::uint64_t below(std::uint64_t bound)
  {
    BUCKTHORNWING_REQUIRE(bound > 0);
    return this->next() % bound;
  }

  /// \returns a number in [0, 1).
  double unit()
  {
    constexpr double kStep = 1.0 / 9007199254740992.0;
    return static_cast<double>(this->next() >> 11) * kStep;
  }
};

}

#endif
