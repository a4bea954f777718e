#ifndef BUCKTHORNWING_CAPACITY_CLASS_H
#define BUCKTHORNWING_CAPACITY_CLASS_H

#include <cstdint>

namespace buckthornwing {

/// \returns the class of an instance's capacity: 1 for the smallest instances,
/// and one more for each factor of four of its link or processor, whichever is
/// the bottleneck; 0 if either is unknown.
///
/// Instances of one class are treated as equal, so small differences have no
/// effect.
/// \param linkMegabits rate of its link in Mbit/s; 0 if unknown
/// \param cpuShare share of a core; 0 if unknown
std::uint8_t
capacityClassOf(double linkMegabits, double cpuShare);

}

#endif
