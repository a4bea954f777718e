#ifndef BUCKTHORNWING_TAG_INDEX_H
#define BUCKTHORNWING_TAG_INDEX_H

#include "../View/TargetRegistry.h"
#include "FlowTag.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief Finds the target that a flow tag names.
class TagIndex
{
public:
  explicit TagIndex(const TagScheme& scheme)
    : scheme(scheme)
  {
  }

  /// \brief Builds the index anew from all targets, tombstones among them.
  void rebuild(const TargetRegistry& registry);

  /// \returns the slot of the target, or kNoTargetSlot if the tag is unknown,
  /// was not minted for this flow, or fits several targets.
  TargetSlot find(const TargetRegistry& registry,
                  FlowTag tag,
                  const FlowKey& flow) const;

  /// \returns the tag for a flow placed on a target, or none if the tag would
  /// name another target as well.
  FlowTag mint(const TargetRegistry& registry,
               const FlowKey& flow,
               TargetSlot slot) const;

private:
  TagScheme scheme;
  boost::unordered_flat_map<std::uint32_t, std::vector<TargetSlot>>
    byFingerprint;
};

}

#endif
