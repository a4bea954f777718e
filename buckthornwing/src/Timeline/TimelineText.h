#ifndef BUCKTHORNWING_TIMELINE_TEXT_H
#define BUCKTHORNWING_TIMELINE_TEXT_H

#include "TimelineReport.h"

namespace buckthornwing {

/// \returns a count and its noun, which gets a plural "s" unless the count is
/// 1, such as "3 targets" and "1 target".
std::string
formatCount(std::uint64_t count, std::string_view noun);

/// \returns the time of day in UTC, such as "12:00:37".
std::string
formatClock(MilliTime wallTime);

/// \returns the time of day in UTC with milliseconds, such as "12:00:37.041".
std::string
formatClockMs(MilliTime wallTime);

/// \returns the date in UTC, such as "2026-12-04".
std::string
formatDate(MilliTime wallTime);

/// \returns the header line of the table, without a line break.
std::string
formatTableHeader();

/// \returns a line of the table, without a line break.
std::string
formatRow(const TimelineRow& row);

/// \param report contains the names of the instances and targets
/// \returns one line that describes a detection, its contradiction and the
/// flows that were reset, without a line break.
std::string
formatDeathDetection(const TimelineReport& report,
                     const DeathDetection& detection);

}

#endif
