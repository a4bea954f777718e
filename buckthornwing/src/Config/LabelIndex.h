#ifndef BUCKTHORNWING_LABEL_INDEX_H
#define BUCKTHORNWING_LABEL_INDEX_H

#include "Configuration.h"
#include "Selection.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornwing {

/// \brief Index of a configuration's targets by label.
///
/// With it, a selector is evaluated for the targets that have one of the labels
/// of a requirement, not for all targets. The index refers to the
/// configuration, which must outlive it and must not change.
class LabelIndex
{
public:
  explicit LabelIndex(const Configuration& configuration);

  /// \returns the targets that the service's selector selects; equal to the
  /// result of selectTargets() for the same configuration.
  Selection select(const ServiceConfig& service) const;

private:
  using Label = std::pair<std::string_view, std::string_view>;

  const Configuration& configuration;
  std::map<Label, Selection> byLabel;

  std::size_t candidateCount(const SelectorRequirement& requirement) const;
  Selection candidatesOf(const SelectorRequirement& requirement) const;
};

}

#endif
