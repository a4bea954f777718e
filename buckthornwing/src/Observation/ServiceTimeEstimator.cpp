#include "ServiceTimeEstimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace buckthornwing {
namespace internal {

/// \brief Share of the samples that are below the estimate.
constexpr double kQuantile = 0.3;
/// \brief Time after which a sample is removed.
constexpr MilliDuration kMaxSampleAge{ 120000 };
/// \brief Time without a sample in which the evidence decreases by half.
constexpr MilliDuration kEvidenceHalfLife{ 60000 };

}

void
ServiceTimeEstimator::add(MilliDuration observed, MilliTime now)
{
  this->removeOld(now);
  this->samples.push_back({ observed, now });
  this->newest = { this->lowQuantile(),
                   static_cast<double>(this->samples.size()) };
  this->updatedAt = now;
}

void
ServiceTimeEstimator::removeOld(MilliTime now)
{
  while (!this->samples.empty() &&
         now - this->samples.front().at > internal::kMaxSampleAge) {
    this->samples.pop_front();
  }
}

double
ServiceTimeEstimator::lowQuantile() const
{
  std::vector<std::int64_t> times;
  for (const Sample& sample : this->samples) {
    times.push_back(sample.observed.ms);
  }
  const auto below = static_cast<std::ptrdiff_t>(
    internal::kQuantile * static_cast<double>(times.size()));
  std::nth_element(times.begin(), times.begin() + below, times.end());
  return static_cast<double>(times[static_cast<std::size_t>(below)]);
}

ServiceTimeEstimate
ServiceTimeEstimator::estimate(MilliTime now) const
{
  const auto age = static_cast<double>((now - this->updatedAt).ms);
  const auto halfLife = static_cast<double>(internal::kEvidenceHalfLife.ms);
  const double decay = std::exp2(-std::max(0.0, age) / halfLife);
  return { this->newest.ms, this->newest.evidence * decay };
}

}
