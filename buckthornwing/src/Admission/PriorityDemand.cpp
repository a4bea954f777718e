#include "PriorityDemand.h"

#include <cmath>

namespace buckthornwing {
namespace internal {

/// \brief Time in which the weight of a flow falls to 1/e.
constexpr double kMemoryMs = 2000;
/// \brief Least part of the admitted flows for which room is kept.
constexpr double kMinShare = 0.05;
/// \brief Bound of the priorities that are told apart.
constexpr std::size_t kMaxPriorities = 64;
/// \brief Weight below which a priority is forgotten.
constexpr double kForgottenWeight = 0.001;

}

void
PriorityDemand::decay(MilliTime now)
{
  const auto age = static_cast<double>((now - this->decayedAt).ms);
  this->decayedAt = now;
  const double factor = std::exp(-age / internal::kMemoryMs);
  for (auto& [priority, weight] : this->weights) {
    weight *= factor;
  }
  this->admitted *= factor;
  std::erase_if(this->weights, [](const auto& entry) {
    return entry.second < internal::kForgottenWeight;
  });
}

void
PriorityDemand::add(std::uint32_t priority, bool isAdmitted, MilliTime now)
{
  if (now > this->decayedAt) {
    this->decay(now);
  }
  if (this->weights.size() < internal::kMaxPriorities ||
      this->weights.contains(priority)) {
    this->weights[priority] += 1;
  }
  this->admitted += isAdmitted ? 1 : 0;
}

std::size_t
PriorityDemand::countMoreUrgent(std::uint32_t priority) const
{
  std::size_t count = 0;
  for (const auto& [each, weight] : this->weights) {
    const bool isMoreUrgent = each < priority;
    count +=
      isMoreUrgent && weight >= internal::kMinShare * this->admitted ? 1 : 0;
  }
  return count;
}

}
