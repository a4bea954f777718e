#ifndef BUCKTHORNWING_EVACUATION_LISTING_H
#define BUCKTHORNWING_EVACUATION_LISTING_H

#include "EvacuationChange.h"

#include <span>

namespace buckthornwing {

/// \brief The entries of all evacuations. It contains every change up to
/// \a asOf, and may contain some later ones.
struct EvacuationListing
{
  StorePosition asOf;
  std::span<const EvacuationChange> listed;
};

}

#endif
