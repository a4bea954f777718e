#include "ConfigurationDiff.h"

#include "LookupTable.h"
#include "Selection.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace buckthornwing {
namespace internal {

std::vector<std::string>
servingTargetIds(const Configuration& configuration, std::string_view name)
{
  std::vector<std::string> ids;
  const ServiceConfig* service = findService(configuration, name);
  if (service == nullptr) {
    return ids;
  }
  for (const std::size_t index :
       selectServingTargets(configuration, *service)) {
    ids.push_back(configuration.targets[index].id);
  }
  return ids;
}

std::vector<std::string_view>
lookupTargetIds(const Configuration& configuration, std::string_view name)
{
  const ServiceConfig* service = findService(configuration, name);
  if (service == nullptr) {
    return {};
  }
  return tableTargetIds(configuration, *service);
}

double
movedShare(const Configuration& before,
           const Configuration& after,
           std::string_view name)
{
  const auto old = lookupTargetIds(before, name);
  const auto next = lookupTargetIds(after, name);
  if (old.size() != next.size() || old.empty()) {
    return 1;
  }
  std::size_t moved = 0;
  for (std::size_t i = 0; i < old.size(); ++i) {
    moved += old[i] == next[i] ? 0 : 1;
  }
  return static_cast<double>(moved) / static_cast<double>(old.size());
}

}

std::vector<std::string_view>
tableTargetIds(const Configuration& configuration, const ServiceConfig& service)
{
  std::vector<std::string_view> ids;
  for (const std::size_t i : selectServingTargets(configuration, service)) {
    ids.emplace_back(configuration.targets[i].id);
  }
  const auto table =
    buildLookupTable(ids,
                     bucketCountFor(ids.size()),
                     configuration.hashSeed ^ serviceTag(service.name));
  std::vector<std::string_view> names;
  names.reserve(table.size());
  for (const std::uint16_t position : table) {
    names.push_back(position == kNoTarget ? std::string_view{} : ids[position]);
  }
  return names;
}

std::vector<ServiceDiff>
diffConfigurations(const Configuration& before, const Configuration& after)
{
  std::set<std::string> names;
  for (const Configuration* configuration : { &before, &after }) {
    for (const ServiceConfig& service : configuration->services) {
      names.insert(service.name);
    }
  }
  std::vector<ServiceDiff> diffs;
  for (const std::string& name : names) {
    const auto old = internal::servingTargetIds(before, name);
    const auto next = internal::servingTargetIds(after, name);
    if (old == next && before.hashSeed == after.hashSeed) {
      continue;
    }
    ServiceDiff diff{ name, {}, {}, 0 };
    std::set_difference(next.begin(),
                        next.end(),
                        old.begin(),
                        old.end(),
                        std::back_inserter(diff.gained));
    std::set_difference(old.begin(),
                        old.end(),
                        next.begin(),
                        next.end(),
                        std::back_inserter(diff.lost));
    diff.movedShare = internal::movedShare(before, after, name);
    diffs.push_back(std::move(diff));
  }
  return diffs;
}

}
