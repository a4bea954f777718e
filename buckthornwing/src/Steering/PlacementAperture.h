#ifndef BUCKTHORNWING_PLACEMENT_APERTURE_H
#define BUCKTHORNWING_PLACEMENT_APERTURE_H

#include "ApertureTarget.h"

#include <cstddef>
#include <span>

namespace buckthornwing {

/// \brief Computes which part of each target lies in the aperture of an
/// instance (deterministic aperture).
///
/// The targets stand on a line by their keys, each as long as its capacity. The
/// line is cut into equal parts, one for each instance of the zone. So only a
/// few instances place flows on the same target, and each of them sees most of
/// its load itself, without any report. \param targets the targets of one zone;
/// they are sorted and their shares set \param rank position of the instance
/// among the instances of the zone \param instances number of instances of the
/// zone, above zero
void
layAperture(std::span<ApertureTarget> targets,
            std::size_t rank,
            std::size_t instances);

/// \returns the target of this instance's zone for a new flow, preferably one
/// in its aperture that is not busy with its own flows; kNoTargetSlot if none
/// is eligible.
/// \param targets the targets of the zone; they are sorted and their shares set
TargetSlot
chooseInAperture(const TagBlackboard& board,
                 std::span<ApertureTarget> targets,
                 FlowId flow);

}

#endif
