#include "TagIndex.h"

namespace buckthornwing {

void
TagIndex::rebuild(const TargetRegistry& registry)
{
  this->byFingerprint.clear();
  const auto targets = registry.targets();
  for (TargetSlot slot = 0; slot < targets.size(); ++slot) {
    if (targets[slot].used) {
      const std::uint32_t fingerprint =
        this->scheme.fingerprint(targets[slot].key);
      this->byFingerprint[fingerprint].push_back(slot);
    }
  }
}

TargetSlot
TagIndex::find(const TargetRegistry& registry,
               FlowTag tag,
               const FlowKey& flow) const
{
  const auto found = this->byFingerprint.find(tag.bits >> kTagCheckBits);
  if (found == this->byFingerprint.end()) {
    return kNoTargetSlot;
  }
  TargetSlot match = kNoTargetSlot;
  for (const TargetSlot slot : found->second) {
    if (!this->scheme.matches(tag, flow, registry.at(slot).key)) {
      continue;
    }
    if (match != kNoTargetSlot) {
      return kNoTargetSlot;
    }
    match = slot;
  }
  return match;
}

FlowTag
TagIndex::mint(const TargetRegistry& registry,
               const FlowKey& flow,
               TargetSlot slot) const
{
  const FlowTag tag = this->scheme.mint(flow, registry.at(slot).key);
  return this->find(registry, tag, flow) == slot ? tag : FlowTag{};
}

}
