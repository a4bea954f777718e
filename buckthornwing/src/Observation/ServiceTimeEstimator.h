#ifndef BUCKTHORNWING_SERVICE_TIME_ESTIMATOR_H
#define BUCKTHORNWING_SERVICE_TIME_ESTIMATOR_H

#include "../Core/MilliTime.h"
#include "ServiceTimeEstimate.h"

#include <boost/circular_buffer.hpp>
#include <cstddef>

namespace buckthornwing {

/// \brief Estimates the time that a request occupies a slot of one target, from
/// the times that callers waited for the first sign of an answer.
///
/// The estimate is a low quantile of the newest samples: requests that waited
/// in a queue that nobody has counted, or that take many times longer than
/// others, hardly change it. It is below the mean by a factor that is the same
/// for targets whose times are equally spread.
class ServiceTimeEstimator
{
public:
  /// \brief Number of samples that are kept.
  static constexpr std::size_t kMaxSamples = 20;

  /// \brief Adds a sample.
  /// \param observed time from a request that found a free slot to its answer,
  /// without the round trip to the target
  void add(MilliDuration observed, MilliTime now);

  /// \returns the estimate; its evidence decreases with the time since the
  /// last sample.
  ServiceTimeEstimate estimate(MilliTime now) const;

private:
  struct Sample
  {
    MilliDuration observed;
    MilliTime at;
  };

  boost::circular_buffer<Sample> samples{ kMaxSamples }; ///< oldest first
  ServiceTimeEstimate newest;                            ///< at \a updatedAt
  MilliTime updatedAt{};

  void removeOld(MilliTime now);
  double lowQuantile() const;
};

}

#endif
