#ifndef BUCKTHORNWING_REQUEST_KIND_TIMES_H
#define BUCKTHORNWING_REQUEST_KIND_TIMES_H

#include "../Core/MilliTime.h"
#include "../View/Route.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <optional>

namespace buckthornwing {

/// \brief Makes the service times of requests of different kinds comparable. A
/// target that has just run more requests of a long kind than others isn't
/// slower than they are.
class RequestKindTimes
{
public:
  /// \returns the time that an average request would have taken at a target
  /// where one of the given kind took \a took. If all requests are of one kind,
  /// this is \a took.
  MilliDuration toAverage(RouteKind kind, MilliDuration took)
  {
    const auto ms = static_cast<double>(took.ms);
    std::optional<double>& mean = this->means[static_cast<std::size_t>(kind)];
    mean = moved(mean, ms);
    this->overallMean = moved(this->overallMean, ms);
    return MilliDuration{ std::llround(ms * *this->overallMean / *mean) };
  }

private:
  /// \brief Weight of the newest time in the moving means.
  static constexpr double kNewestWeight = 0.02;
  static constexpr std::size_t kKinds = 3;

  std::array<std::optional<double>, kKinds> means; ///< in ms, by RouteKind
  std::optional<double> overallMean;               ///< in ms

  static double moved(const std::optional<double>& mean, double ms)
  {
    return mean ? *mean + kNewestWeight * (ms - *mean) : ms;
  }
};

}

#endif
