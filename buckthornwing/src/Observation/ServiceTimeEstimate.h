#ifndef BUCKTHORNWING_SERVICE_TIME_ESTIMATE_H
#define BUCKTHORNWING_SERVICE_TIME_ESTIMATE_H

#include <cmath>

namespace buckthornwing {

/// \brief Number of samples from which an instance reports its estimate to its
/// peers.
inline constexpr double kMinSharedEvidence = 12;

/// \brief Estimate of the time that a request occupies a slot of a target.
struct ServiceTimeEstimate
{
  double ms = 0;
  double evidence = 0; ///< number of samples that it is based on

  bool operator==(const ServiceTimeEstimate&) const = default;
};

/// \returns the geometric mean of two estimates, weighted by their evidence.
/// The estimates themselves are quantiles, see ServiceTimeEstimator.
inline ServiceTimeEstimate
combine(const ServiceTimeEstimate& left, const ServiceTimeEstimate& right)
{
  if (left.evidence <= 0 || right.evidence <= 0) {
    return left.evidence > 0 ? left : right;
  }
  const double evidence = left.evidence + right.evidence;
  const double share = right.evidence / evidence;
  return { left.ms * std::pow(right.ms / left.ms, share), evidence };
}

}

#endif
