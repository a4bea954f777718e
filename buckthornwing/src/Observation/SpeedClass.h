#ifndef BUCKTHORNWING_SPEED_CLASS_H
#define BUCKTHORNWING_SPEED_CLASS_H

#include <cstdint>

namespace buckthornwing {

/// \brief How a target's service time compares with the median of its service.
enum class SpeedClass : std::uint8_t
{
  typical,
  slower,
  faster,
};

}

#endif
