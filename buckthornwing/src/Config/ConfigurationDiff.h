#ifndef BUCKTHORNWING_CONFIGURATION_DIFF_H
#define BUCKTHORNWING_CONFIGURATION_DIFF_H

#include "Configuration.h"

#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Effect of a configuration change on one service.
struct ServiceDiff
{
  std::string service;
  std::vector<std::string> gained; ///< target ids that now receive new flows
  std::vector<std::string> lost;   ///< target ids that no longer do
  /// Expected fraction of new flows that go to another target; 1 if the sizes
  /// of the lookup tables differ.
  double movedShare = 0;
};

/// \returns one element for each service whose serving targets differ between
/// the documents, or for each service if the hash seed differs; sorted by
/// service name.
std::vector<ServiceDiff>
diffConfigurations(const Configuration& before, const Configuration& after);

/// \returns the target id of each bucket of a service's lookup table; empty
/// strings if the service has no serving target.
std::vector<std::string_view>
tableTargetIds(const Configuration& configuration,
               const ServiceConfig& service);

}

#endif
