#ifndef BUCKTHORNWING_CONFIGURATION_DIFF_H
#define BUCKTHORNWING_CONFIGURATION_DIFF_H

#include "Configuration.h"

#include <string>
#include <vector>

namespace buckthornwing {

/// \brief What a change of configuration means for one service.
struct ServiceDiff
{
  std::string service;
  std::vector<std::string> gained; ///< ids that may be given new flows now
  std::vector<std::string> lost;   ///< ids that no longer may
  double movedShare = 0; ///< share of new flows that go to another target
};

/// \returns one element for each service of either document that changes.
std::vector<ServiceDiff>
diffConfigurations(const Configuration& before, const Configuration& after);

/// \returns the target ids of a service's lookup table, bucket by bucket;
/// empty text where there is no target.
std::vector<std::string_view>
tableTargetIds(const Configuration& configuration,
               const ServiceConfig& service);

}

#endif
