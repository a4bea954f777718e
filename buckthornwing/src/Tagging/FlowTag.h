#ifndef BUCKTHORNWING_FLOW_TAG_H
#define BUCKTHORNWING_FLOW_TAG_H

#include "../Core/FlowKey.h"
#include "../View/TargetRecord.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Identifier of a flow's target that the fabric adds to every packet of
/// the flow after the opening.
///
/// With it any instance can forward any packet without state of the flow. The
/// upper 20 bits are a fingerprint of the target's key, the lower 12 bits a
/// keyed check value over flow and key, which is never 0.
struct FlowTag
{
  std::uint32_t bits = 0; ///< 0 if there is no tag

  auto operator<=>(const FlowTag&) const = default;
};

/// \brief Number of bits of the check value in a flow tag.
inline constexpr unsigned kTagCheckBits = 12;

/// \brief Creates and verifies flow tags with the secret that all instances
/// share.
class TagScheme
{
public:
  explicit TagScheme(std::uint64_t secret)
    : secret(secret)
  {
  }

  /// \returns the upper bits of all tags that identify a target.
  std::uint32_t fingerprint(TargetKey target) const;

  /// \returns the tag that binds a flow to a target.
  FlowTag mint(const FlowKey& flow, TargetKey target) const;

  /// \returns whether a tag was created for this flow and this target.
  bool matches(FlowTag tag, const FlowKey& flow, TargetKey target) const
  {
    return this->mint(flow, target) == tag;
  }

private:
  std::uint64_t secret;
};

}

#endif
