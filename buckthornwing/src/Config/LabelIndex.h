#ifndef BUCKTHORNWING_LABEL_INDEX_H
#define BUCKTHORNWING_LABEL_INDEX_H

#include "Configuration.h"
#include "Selection.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornwing {

/// \brief Targets of a configuration by label, so that a selector need not be
/// tried on all of them. Valid while the configuration lives unchanged.
class LabelIndex
{
public:
  explicit LabelIndex(const Configuration& configuration);

  /// \returns the same as selectTargets() of this configuration.
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
