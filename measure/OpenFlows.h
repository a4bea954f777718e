#ifndef BUCKTHORNWING_MEASURE_OPEN_FLOWS_H
#define BUCKTHORNWING_MEASURE_OPEN_FLOWS_H

#include "Deployment.h"

#include <cstdint>
#include <map>
#include <string>

namespace buckthornwing::measure {

/// \brief Open flows of each target, counted at the targets themselves.
class OpenFlows
{
public:
  void open(const std::string& service, const std::string& target);
  void close(const std::string& service, const std::string& target);

  /// \returns all open flows.
  std::uint64_t total() const { return this->count; }

  /// \returns a target's open flows over all services.
  std::uint32_t atTarget(const std::string& target) const;

  /// \returns max/mean over the service's serving targets, 1 without flows.
  double imbalance(const PublishedState& published,
                   const std::string& service) const;

private:
  std::map<std::string, std::map<std::string, std::int64_t>> byService;
  std::uint64_t count = 0;
};

}

#endif
