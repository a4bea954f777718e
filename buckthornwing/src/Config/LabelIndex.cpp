#include "LabelIndex.h"

#include <algorithm>

namespace buckthornwing {

LabelIndex::LabelIndex(const Configuration& configuration)
  : configuration(configuration)
{
  for (std::size_t i = 0; i < configuration.targets.size(); ++i) {
    for (const auto& [key, value] : configuration.targets[i].labels) {
      this->byLabel[{ key, value }].push_back(i);
    }
  }
}

std::size_t
LabelIndex::candidateCount(const SelectorRequirement& requirement) const
{
  std::size_t count = 0;
  for (const std::string& value : requirement.values) {
    const auto found = this->byLabel.find({ requirement.key, value });
    count += found == this->byLabel.end() ? 0 : found->second.size();
  }
  return count;
}

Selection
LabelIndex::candidatesOf(const SelectorRequirement& requirement) const
{
  Selection candidates;
  for (const std::string& value : requirement.values) {
    const auto found = this->byLabel.find({ requirement.key, value });
    if (found != this->byLabel.end()) {
      candidates.insert(
        candidates.end(), found->second.begin(), found->second.end());
    }
  }
  // A requirement may list the same value more than once.
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  return candidates;
}

Selection
LabelIndex::select(const ServiceConfig& service) const
{
  const SelectorRequirement* mostSelective = nullptr;
  if (service.selector) {
    for (const auto& requirement : service.selector->requirements) {
      const bool isMoreSelective =
        requirement.op == SelectorOperator::in &&
        (mostSelective == nullptr || this->candidateCount(requirement) <
                                       this->candidateCount(*mostSelective));
      mostSelective = isMoreSelective ? &requirement : mostSelective;
    }
  }
  if (mostSelective == nullptr) {
    return selectTargets(this->configuration, service);
  }
  Selection selection = this->candidatesOf(*mostSelective);
  const auto& targets = this->configuration.targets;
  std::erase_if(selection, [&](std::size_t index) {
    return !matches(*service.selector, targets[index].labels);
  });
  sortById(this->configuration, selection);
  return selection;
}

}
