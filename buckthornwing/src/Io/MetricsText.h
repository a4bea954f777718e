#ifndef BUCKTHORNWING_METRICS_TEXT_H
#define BUCKTHORNWING_METRICS_TEXT_H

#include "StatusReport.h"

#include <memory>
#include <string>

namespace buckthornwing {

/// \brief Statistics of a repeated duration (Boost.Accumulators).
class DurationStatistics
{
public:
  DurationStatistics();
  ~DurationStatistics();
  DurationStatistics(const DurationStatistics&) = delete;
  DurationStatistics& operator=(const DurationStatistics&) = delete;

  void add(double microseconds);
  double mean() const;
  double most() const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> accumulators;
};

/// \returns the text that /metrics serves, in the Prometheus text format.
std::string
formatMetrics(const Engine& engine, const HostCounters& host, MilliTime now);

}

#endif
