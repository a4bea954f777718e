#include "Selection.h"

#include <algorithm>

namespace buckthornwing {

void
sortById(const Configuration& configuration, Selection& selection)
{
  std::sort(selection.begin(), selection.end(), [&](auto left, auto right) {
    return configuration.targets[left].id < configuration.targets[right].id;
  });
}

Selection
selectTargets(const Configuration& configuration, const ServiceConfig& service)
{
  Selection selection;
  if (!service.selector) {
    return selection;
  }
  for (std::size_t i = 0; i < configuration.targets.size(); ++i) {
    if (matches(*service.selector, configuration.targets[i].labels)) {
      selection.push_back(i);
    }
  }
  sortById(configuration, selection);
  return selection;
}

Selection
selectServingTargets(const Configuration& configuration,
                     const ServiceConfig& service)
{
  Selection selection = selectTargets(configuration, service);
  std::erase_if(selection, [&](std::size_t index) {
    return configuration.targets[index].state != TargetState::serving;
  });
  return selection;
}

const ServiceConfig*
findService(const Configuration& configuration, std::string_view name)
{
  for (const ServiceConfig& service : configuration.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

}
