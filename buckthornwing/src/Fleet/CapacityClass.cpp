#include "CapacityClass.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Upper limits of the first class. They lie between usual sizes of
/// instances, so that two of about the same size are rarely told apart.
constexpr double kSmallLinkMegabits = 16;
constexpr double kSmallCpuShare = 0.16; // of a core
/// \brief Ratio of the limits of two successive classes.
constexpr double kClassFactor = 4;
constexpr std::uint8_t kMaxCapacityClass = 8;

/// \returns the class of a capacity relative to the limit of the first class.
std::uint8_t
classOf(double relativeCapacity)
{
  std::uint8_t result = 1;
  while (relativeCapacity >= 1 && result < kMaxCapacityClass) {
    relativeCapacity /= kClassFactor;
    ++result;
  }
  return result;
}

}

std::uint8_t
capacityClassOf(double linkMegabits, double cpuShare)
{
  if (linkMegabits <= 0 || cpuShare <= 0) {
    return 0;
  }
  return std::min(
    internal::classOf(linkMegabits / internal::kSmallLinkMegabits),
    internal::classOf(cpuShare / internal::kSmallCpuShare));
}

}
