#ifndef BUCKTHORNWING_SELECTION_H
#define BUCKTHORNWING_SELECTION_H

#include "Configuration.h"

#include <vector>

namespace buckthornwing {

/// \brief Indices into Configuration::targets, sorted by target id.
using Selection = std::vector<std::size_t>;

/// \brief Sorts a selection by target id.
void
sortById(const Configuration& configuration, Selection& selection);

/// \returns the targets that match the service's selector, including draining
/// ones; none if the service has no valid selector.
Selection
selectTargets(const Configuration& configuration, const ServiceConfig& service);

/// \returns the targets that match the service's selector and are serving, so
/// that they receive new flows.
Selection
selectServingTargets(const Configuration& configuration,
                     const ServiceConfig& service);

/// \returns the service of that name; null if there is none.
const ServiceConfig*
findService(const Configuration& configuration, std::string_view name);

}

#endif
