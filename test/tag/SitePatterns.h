#ifndef BUCKTHORNWING_TEST_SITE_PATTERNS_H
#define BUCKTHORNWING_TEST_SITE_PATTERNS_H

#include "LoadPattern.h"

namespace buckthornwing::test {

using namespace buckthornwing::literals;

/// \returns a pattern with three zones, a deadline of 1 s and an objective of
/// 200 ms. All instances are down for 1.2 s and restart within 350 ms.
inline LoadPattern
shortDeadlines()
{
  LoadPattern pattern;
  pattern.zones = { { 4, 5 }, { 2, 5 }, { 3, 4 } };
  pattern.slots = 2;
  pattern.queue = 8;
  pattern.service = 32_ms;
  pattern.callers = 1200;
  pattern.newFlowShare = 0.22;
  pattern.pause = 2950_ms;
  pattern.objective = 200_ms;
  pattern.deadline = 1000_ms;
  pattern.refusalDelay = 110_ms;
  pattern.crossZoneDelay = 5_ms;
  pattern.outageAt = 4000_ms;
  pattern.outageLength = 1200_ms;
  pattern.startSpread = 350_ms;
  return pattern;
}

/// \returns a pattern in which most flows are long and the deadline is 3.2 s.
inline LoadPattern
longFlows()
{
  LoadPattern pattern = shortDeadlines();
  pattern.zones = { { 3, 5 }, { 3, 5 }, { 2, 4 } };
  pattern.slots = 3;
  pattern.queue = 12;
  pattern.service = 43_ms;
  pattern.newFlowShare = 0.06;
  pattern.objective = 260_ms;
  pattern.deadline = 3200_ms;
  pattern.outageLength = 1400_ms;
  return pattern;
}

/// \returns longFlows() with less spare capacity, so that the backlog after the
/// outage fills all queues.
inline LoadPattern
busyTargets()
{
  LoadPattern pattern = longFlows();
  pattern.service = 59_ms;
  pattern.objective = 300_ms;
  pattern.deadline = 4200_ms;
  return pattern;
}

/// \returns a pattern in which one zone has half the capacity of the others,
/// but the same number of callers.
inline LoadPattern
halfZone()
{
  LoadPattern pattern = shortDeadlines();
  pattern.zones = { { 3, 6 }, { 3, 6 }, { 2, 3 } };
  pattern.outageLength = 1000_ms;
  return pattern;
}

/// \returns a pattern of one zone in which a third of the targets are 2.4 times
/// slower than the others, and 3 % of the requests take 7 times longer. An
/// instance sees about one request a second for each target.
inline LoadPattern
unevenTargets()
{
  LoadPattern pattern;
  pattern.zones = { { 14, 12 } };
  pattern.slots = 2;
  pattern.queue = 8;
  pattern.service = 65_ms;
  pattern.callers = 250;
  pattern.newFlowShare = 0.5;
  pattern.pause = 1400_ms;
  pattern.objective = 300_ms;
  pattern.speedFactors = { 0.7, 0.7, 1.7 };
  pattern.longRequestShare = 0.03;
  pattern.length = 40000_ms;
  return pattern;
}

/// \returns a pattern with short processing times and long queues.
inline LoadPattern
fastServices()
{
  LoadPattern pattern = shortDeadlines();
  pattern.queue = 40;
  pattern.service = 8_ms;
  pattern.callers = 3000;
  pattern.pause = 2000_ms;
  pattern.objective = 100_ms;
  pattern.deadline = 800_ms;
  return pattern;
}

/// \returns a pattern with long processing times and short queues.
inline LoadPattern
slowServices()
{
  LoadPattern pattern = shortDeadlines();
  pattern.slots = 4;
  pattern.queue = 2;
  pattern.service = 150_ms;
  pattern.callers = 600;
  pattern.pause = 3000_ms;
  pattern.objective = 500_ms;
  pattern.deadline = 4000_ms;
  return pattern;
}

}

#endif
