#ifndef BUCKTHORNWING_TEST_LOAD_PATTERN_H
#define BUCKTHORNWING_TEST_LOAD_PATTERN_H

#include "QueueMeter.h"

#include <Core>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornwing::test {

/// \brief Instances and targets of one availability zone. All zones have the
/// same number of callers.
struct ZonePattern
{
  std::size_t instances = 3;
  std::size_t targets = 5;
};

/// \brief Load pattern: sizes, rates and the times of faults.
struct LoadPattern
{
  std::vector<ZonePattern> zones{ {} };
  std::size_t slots = 3;       ///< requests that a target processes in parallel
  std::size_t queue = 12;      ///< requests that wait at a target at most
  MilliDuration service{ 60 }; ///< mean processing time of a request
  std::size_t callers = 150;
  double newFlowShare = 0;    ///< share of callers with a new flow per request
  MilliDuration pause{ 800 }; ///< mean time between a caller's requests
  MilliDuration objective{ 300 };    ///< an answer within this time is in time
  MilliDuration deadline{ 3000 };    ///< a request fails after this time
  MilliDuration refusalDelay{ 20 };  ///< until a full target's refusal arrives
  MilliDuration crossZoneDelay{ 0 }; ///< one way between zones
  MilliDuration length{ 10000 };     ///< simulated time
  MilliDuration outageAt{ 0 };       ///< all instances stop; 0 for no outage
  MilliDuration outageLength{ 0 };
  MilliDuration startSpread{ 0 }; ///< instances restart within this time
  MilliDuration crashAt{ 0 };     ///< one target stops silently; 0 for no crash
  /// Factors of the targets' processing times, repeated in each zone.
  std::vector<double> speedFactors{ 1 };
  /// Factors after \a speedChangeAt, which is 0 for no change.
  std::vector<double> laterSpeedFactors{ 1 };
  MilliDuration speedChangeAt{ 0 };
  double longRequestShare = 0; ///< requests that take 7 times longer
  /// Whether an opening, except for its last copy, is dropped while all targets
  /// of the zone are overloaded.
  bool dropsOpeningsUnderLoad = false;
  MilliDuration tickSpread{ 0 };   ///< instances begin to tick within this time
  MilliDuration measuredFrom{ 0 }; ///< start of LoadResult::queues
  MilliDuration wavePeriod{ 0 };   ///< of each zone's demand, in shifted phase;
                                   ///< 0 for constant demand
  double firstZoneDemand = 1;      ///< of the first zone's callers, by others'
  /// Share of the callers whose route has priority 1; the others' route to the
  /// same service has priority 2. Nothing for one route without a priority.
  std::optional<double> urgentShare;
  std::size_t burstCallers = 0; ///< more callers during the burst
  double burstUrgentShare = 0;  ///< of the callers of the burst
  MilliDuration burstAt{ 0 };
  MilliDuration burstLength{ 0 };
  double crashedShare = 0;        ///< of the targets, at the burst's start
  std::size_t evacuatedZones = 0; ///< first zones, from the start on
  double messageLoss = 0;         ///< probability that a heartbeat is lost
  std::uint64_t seed = 1;
};

/// \brief Requests of one priority that callers started during the burst.
struct BurstRequests
{
  int requests = 0;
  int inTime = 0; ///< of \a requests, answered within the objective

  double inTimeShare() const
  {
    return this->requests == 0 ? 1.0
                               : static_cast<double>(this->inTime) /
                                   static_cast<double>(this->requests);
  }
};

/// \brief Outcome of the requests of a replay.
struct LoadResult
{
  int requests = 0; ///< started by callers
  int inTime = 0;   ///< answered within the objective
  int late = 0;     ///< answered later
  int failed = 0;
  int refused = 0; ///< attempts that full targets refused; callers retry
  int inTimeAfterOutage = 0;   ///< of requestsAfterOutage, answered in time
  int requestsAfterOutage = 0; ///< started within 2 s after the outage
  int openedAfterOutage = 0; ///< flows placed 500 ms after the outage or later
  int openedByFirstCopy = 0; ///< of openedAfterOutage, without retransmission
  int unevenSpeeds = 0; ///< relative service times other than 1, at all ticks
  int speedEvents = 0;  ///< events TagEventKind::targetSpeed
  double longestWaitMs = 0; ///< mean wait for a slot at the worst target
  double imbalance = 0; ///< requests of the busiest target divided by the mean
  /// Requests per slot in the zone with the most divided by those in the zone
  /// with the fewest, sampled for 1.5 s after the outage.
  double zoneImbalance = 0;
  int refusedOpenings = 0; ///< resets because of an overload
  BurstRequests urgent;    ///< of priority 1
  BurstRequests lessUrgent;
  QueueMeter queues;
};

}

#endif
