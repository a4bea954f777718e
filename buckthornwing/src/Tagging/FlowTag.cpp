#include "FlowTag.h"

namespace buckthornwing {
namespace internal {

constexpr unsigned kFingerprintBits = 32 - kTagCheckBits;
constexpr std::uint64_t kCheckValues = (1U << kTagCheckBits) - 1;

}

std::uint32_t
TagScheme::fingerprint(TargetKey target) const
{
  const std::uint64_t mixed = mixWords(target.bits, this->secret);
  return static_cast<std::uint32_t>(mixed >> (64 - internal::kFingerprintBits));
}

FlowTag
TagScheme::mint(const FlowKey& flow, TargetKey target) const
{
  const std::uint64_t flowBits = flowIdOf(flow, this->secret).bits;
  const std::uint64_t mixed = mixWords(flowBits, target.bits ^ this->secret);
  const auto check =
    static_cast<std::uint32_t>(1 + mixed % internal::kCheckValues);
  return FlowTag{ this->fingerprint(target) << kTagCheckBits | check };
}

}
