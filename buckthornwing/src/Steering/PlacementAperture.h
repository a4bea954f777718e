#ifndef BUCKTHORNWING_PLACEMENT_APERTURE_H
#define BUCKTHORNWING_PLACEMENT_APERTURE_H

#include "TagBlackboard.h"

#include <span>
#include <vector>

namespace buckthornwing {

/// \brief Target that may be chosen by its place on the ring of apertures.
struct ApertureTarget
{
  TargetSlot slot = kNoTargetSlot;
  std::uint64_t key = 0;  ///< position among the targets; the same everywhere
  double capacity = 0;    ///< number of request slots
  bool isEligible = true; ///< whether it may be chosen
  double share = 0;       ///< part of it that lies in the aperture, 0 to 1
};

/// \brief Computes which part of each target lies in the aperture of an
/// instance (deterministic aperture).
///
/// The targets stand on a line by their keys, each as long as its capacity. The
/// line is cut into equal parts, one for each instance of the zone. So few
/// instances place flows on the same target, and what they know of it without
/// any report is most of its load.
/// \param targets the targets of one zone; they are sorted and their shares set
/// \param rank position of the instance among the instances of the zone
/// \param instances number of instances of the zone, above zero
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
