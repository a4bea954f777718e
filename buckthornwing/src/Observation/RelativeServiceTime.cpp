#include "RelativeServiceTime.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace buckthornwing {
namespace internal {

/// \brief Evidence from which a typical target may become slower or faster.
constexpr double kMinEvidence = kMinSharedEvidence;
/// \brief Evidence below which a target counts as typical again.
constexpr double kMinEvidenceToStay = kMinEvidence / 2;
/// \brief Logarithm of the factor up to which a typical target stays typical.
constexpr double kDeadBand = 0.5;
/// \brief Logarithm of the factor up to which another target becomes typical.
constexpr double kDeadBandToReturn = 0.2;
/// \brief Standard deviation of the logarithm of one sample. Requests take
/// times that are spread by half around their mean, some of them far longer.
constexpr double kSampleDeviation = 0.6;
/// \brief Number of standard errors that chance does not exceed, even with many
/// targets that are compared for a long time.
constexpr double kMaxStandardErrors = 6;
/// \brief Difference from the median that no caller notices; network delays
/// vary by about as much.
constexpr double kMinDifferenceMs = 5;
/// \brief Plausible range of a relative service time.
constexpr double kMinRelative = 0.25;
constexpr double kMaxRelative = 8;

/// \returns the logarithm of the factor that chance does not exceed.
double
chanceLimitOf(double evidence)
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
    wasTypical ? std::max(internal::kDeadBand,
                          internal::chanceLimitOf(estimate.evidence))
               : internal::kDeadBandToReturn;
  if (std::abs(std::log(relative)) <= deadBand) {
    return 1;
  }
  return std::clamp(relative, internal::kMinRelative, internal::kMaxRelative);
}

}
