#include "AdmissionPolicy.h"

#include <algorithm>
#include <cmath>

namespace buckthornwing {
namespace internal {

/// \brief Rounds from which on targets are expected to turn requests away: they
/// queue only a few, and a request that they turn away has waited in vain.
constexpr double kMaxRounds = 3;
/// \brief Limit of a priority relative to that of the next more urgent one.
constexpr double kLimitPerPriority = 0.5;
/// \brief Part of the more urgent routes' latency objective that may be spent
/// on waiting for less urgent requests.
constexpr double kObjectiveShare = 0.25;
/// \brief Part of the limit from which on some flows are refused.
constexpr double kRampStart = 0.5;

}

double
admissionLimit(const AdmissionRequest& request, const ServiceQueue& queue)
{
  double limit =
    internal::kMaxRounds * std::pow(internal::kLimitPerPriority,
                                    static_cast<double>(request.moreUrgent));
  if (!queue.roundMs || *queue.roundMs <= 0) {
    return limit;
  }
  if (request.timeout) {
    // One round is left for serving the request itself.
    const auto timeout = static_cast<double>(request.timeout->ms);
    limit = std::min(limit, timeout / *queue.roundMs - 1);
  }
  if (request.moreUrgent > 0 && request.urgentObjective) {
    const auto objective = static_cast<double>(request.urgentObjective->ms);
    limit =
      std::min(limit, internal::kObjectiveShare * objective / *queue.roundMs);
  }
  return std::max(0.0, limit);
}

double
refusalProbability(const AdmissionRequest& request, const ServiceQueue& queue)
{
  if (!(queue.rounds > 0)) {
    return 0; // also if rounds is NaN
  }
  const double limit = admissionLimit(request, queue);
  if (queue.rounds >= limit) {
    return 1;
  }
  const double start = internal::kRampStart * limit;
  return std::clamp((queue.rounds - start) / (limit - start), 0.0, 1.0);
}

}
