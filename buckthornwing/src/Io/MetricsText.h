#ifndef BUCKTHORNWING_METRICS_TEXT_H
#define BUCKTHORNWING_METRICS_TEXT_H

#include "StatusReport.h"

#include <memory>
#include <string>

namespace buckthornwing {

/// \brief Mean and maximum of a series of durations, in microseconds.
class DurationStatistics
{
public:
  DurationStatistics();
  ~DurationStatistics();
  DurationStatistics(const DurationStatistics&) = delete;
  DurationStatistics& operator=(const DurationStatistics&) = delete;

  void add(double microseconds);
  /// \returns the mean, or 0 if no duration was added.
  double mean() const;
  /// \returns the maximum, or 0 if no duration was added.
  double max() const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> accumulators;
};

/// \returns the body of /metrics in the Prometheus text format.
std::string
formatMetrics(const Engine& engine, const HostCounters& host, MilliTime now);

}

#endif
