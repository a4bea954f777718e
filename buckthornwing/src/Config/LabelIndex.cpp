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
  // A value may be listed twice.
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  return candidates;
}

Selection
LabelIndex::select(const ServiceConfig& service) const
{
  const SelectorRequirement* narrowest = nullptr;
  if (service.selector) {
    for (const auto& requirement : service.selector->requirements) {
      const bool narrows =
        requirement.op == SelectorOperator::in &&
        (narrowest == nullptr ||
         this->candidateCount(requirement) < this->candidateCount(*narrowest));
      narrowest = narrows ? &requirement : narrowest;
    }
  }
  if (narrowest == nullptr) {
    return selectTargets(this->configuration, service);
  }
  Selection selection = this->candidatesOf(*narrowest);
  const auto& targets = this->configuration.targets;
  std::erase_if(selection, [&](std::size_t index) {
    return !matches(*service.selector, targets[index].labels);
  });
  sortById(this->configuration, selection);
  return selection;
}

}
