#ifndef BUCKTHORNWING_TIMELINE_TEXT_H
#define BUCKTHORNWING_TIMELINE_TEXT_H

#include "TimelineReport.h"

namespace buckthornwing {

/// \returns "3 targets", or "1 target".
std::string
formatCount(std::uint64_t count, std::string_view noun);

/// \returns the time of day in UTC, "12:00:37".
std::string
formatClock(MilliTime wallTime);

/// \returns the time of day in UTC, "12:00:37.041".
std::string
formatClockMs(MilliTime wallTime);

/// \returns the date in UTC, "2026-12-04".
std::string
formatDate(MilliTime wallTime);

/// \returns the head of the table.
std::string
formatTableHead();

/// \returns a line of the table.
std::string
formatRow(const TimelineRow& row);

/// \returns a sentence on a verdict.
std::string
formatVerdict(const TimelineReport& report, const DeathVerdict& verdict);

}

#endif
