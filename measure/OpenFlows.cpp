#include "OpenFlows.h"

#include <algorithm>

namespace buckthornwing::measure {

void
OpenFlows::open(const std::string& service, const std::string& target)
{
  ++this->byService[service][target];
  ++this->count;
}

void
OpenFlows::close(const std::string& service, const std::string& target)
{
  --this->byService[service][target];
  --this->count;
}

std::uint32_t
OpenFlows::atTarget(const std::string& target) const
{
  std::int64_t sum = 0;
  for (const auto& [service, byTarget] : this->byService) {
    const auto found = byTarget.find(target);
    sum += found == byTarget.end() ? 0 : found->second;
  }
  return static_cast<std::uint32_t>(sum);
}

double
OpenFlows::imbalance(const PublishedDocument& published,
                     const std::string& service) const
{
  const auto byTarget = this->byService.find(service);
  if (byTarget == this->byService.end()) {
    return 1;
  }
  double most = 0;
  double sum = 0;
  double targets = 0;
  for (const TargetConfig& config : published.targets) {
    const bool serving = config.state == TargetState::serving &&
                         config.labels.at("app") == service &&
                         config.labels.at("tier") != "spare";
    if (!serving) {
      continue;
    }
    const auto found = byTarget->second.find(config.id);
    const double open =
      found == byTarget->second.end() ? 0 : static_cast<double>(found->second);
    most = std::max(most, open);
    sum += open;
    ++targets;
  }
  return sum == 0 ? 1 : most * targets / sum;
}

}
