#ifndef BUCKTHORNWING_TAG_INDEX_H
#define BUCKTHORNWING_TAG_INDEX_H

#include "../View/TargetRegistry.h"
#include "FlowTag.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief Index that finds the target of a flow tag.
class TagIndex
{
public:
  explicit TagIndex(const TagScheme& scheme)
    : scheme(scheme)
  {
  }

  /// \brief Rebuilds the index from all targets of the registry, including
  /// tombstones.
  void rebuild(const TargetRegistry& registry);

  /// \returns the slot of the target, or kNoTargetSlot if the tag is unknown,
  /// was not created for this flow, or matches several targets.
  TargetSlot find(const TargetRegistry& registry,
                  FlowTag tag,
                  const FlowKey& flow) const;

  /// \returns the tag for a flow on a target, or an empty tag if it would match
  /// another target as well.
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
