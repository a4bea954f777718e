#include "RelativeServiceTime.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace buckthornwing {
namespace internal {

/// \brief Evidence from which a target may leave 1, and below which it returns
/// to 1.
constexpr double kMinEvidence = kMinSharedEvidence;
constexpr double kMinEvidenceToStay = kMinEvidence / 2;
/// \brief Logarithms of the factors between which a target is typical, for one
/// that was typical before and for one that was not.
constexpr double kDeadBand = 0.5;
constexpr double kDeadBandToStay = 0.2;
/// \brief Standard deviation of the logarithm of one sample. Requests take
/// times that are spread by half around their mean, some of them far longer.
constexpr double kSampleDeviation = 0.6;
/// \brief Number of standard errors that chance does not exceed, with many
/// targets and a whole day.
constexpr double kMaxStandardErrors = 6;
/// \brief Difference from the median that no caller notices; network delays
/// vary by about as much.
constexpr double kMinDifferenceMs = 5;
/// \brief Plausible range.
constexpr double kLeast = 0.25;
constexpr double kMost = 8;

/// \returns the logarithm of the factor that chance does not exceed.
double
chanceOf(double evidence)
{
  return kMaxStandardErrors * kSampleDeviation / std::sqrt(evidence);
}

}

std::optional<double>
medianServiceMs(std::span<const ServiceTimeEstimate> estimates)
{
  std::vector<double> known;
  for (const ServiceTimeEstimate& estimate : estimates) {
    if (estimate.evidence >= internal::kMinEvidence) {
      known.push_back(estimate.ms);
    }
  }
  if (known.size() < 2) {
    return std::nullopt;
  }
  const auto middle =
    known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

RelativeServiceTime
relativeServiceTime(const ServiceTimeEstimate& estimate,
                    std::optional<double> medianMs,
                    RelativeServiceTime before)
{
  const bool wasTypical = speedClassOf(before) == SpeedClass::typical;
  const double minEvidence =
    wasTypical ? internal::kMinEvidence : internal::kMinEvidenceToStay;
  if (!medianMs || estimate.evidence < minEvidence) {
    return 1;
  }
  if (std::abs(estimate.ms - *medianMs) < internal::kMinDifferenceMs) {
    return 1;
  }
  const double relative = estimate.ms / *medianMs;
  const double deadBand =
    wasTypical
      ? std::max(internal::kDeadBand, internal::chanceOf(estimate.evidence))
      : internal::kDeadBandToStay;
  if (std::abs(std::log(relative)) <= deadBand) {
    return 1;
  }
  return std::clamp(relative, internal::kLeast, internal::kMost);
}

}
