#ifndef BUCKTHORNWING_MEASURE_OPEN_FLOWS_H
#define BUCKTHORNWING_MEASURE_OPEN_FLOWS_H

#include "Deployment.h"

#include <cstdint>
#include <map>
#include <string>

namespace buckthornwing::measure {

/// \brief Counts the flows that are open at each target, from the targets' own
/// view and not from that of an instance.
class OpenFlows
{
public:
  void open(const std::string& service, const std::string& target);
  void close(const std::string& service, const std::string& target);

  /// \returns the number of open flows at all targets.
  std::uint64_t total() const { return this->count; }

  /// \returns the number of a target's open flows, summed over all services.
  std::uint32_t atTarget(const std::string& target) const;

  /// \returns the maximum number of open flows per target divided by the mean,
  /// over the targets that serve a service and are selected; 1 without flows.
  double imbalance(const PublishedDocument& published,
                   const std::string& service) const;

private:
  std::map<std::string, std::map<std::string, std::int64_t>> byService;
  std::uint64_t count = 0;
};

}

#endif
