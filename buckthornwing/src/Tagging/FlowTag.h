#ifndef BUCKTHORNWING_FLOW_TAG_H
#define BUCKTHORNWING_FLOW_TAG_H

#include "../Core/FlowKey.h"

#include <cstdint>

namespace buckthornwing {

/// \brief What the fabric carries back in every later packet of a flow.
///
/// It names the flow's target, so that any instance can forward any packet
/// without state. The upper 20 bits are a fingerprint of the target, the lower
/// 12 a keyed check over flow and target, never 0.
struct FlowTag
{
  std::uint32_t bits = 0; ///< 0: none

  auto operator<=>(const FlowTag&) const = default;
};

inline constexpr unsigned kTagCheckBits = 12;

/// \brief Makes and checks flow tags under the fleet's secret.
class TagScheme
{
public:
  explicit TagScheme(std::uint64_t secret)
    : secret(secret)
  {
  }

  /// \returns the upper bits of all tags that name a target.
  std::uint32_t fingerprint(std::uint64_t targetNumber) const;

  /// \returns the tag that binds a flow to a target.
  FlowTag mint(const FlowKey& flow, std::uint64_t targetNumber) const;

  /// \returns whether a tag binds this flow to this target.
  bool matches(FlowTag tag,
               const FlowKey& flow,
               std::uint64_t targetNumber) const
  {
    return this->mint(flow, targetNumber) == tag;
  }

private:
  std::uint64_t secret;
};

}

#endif
