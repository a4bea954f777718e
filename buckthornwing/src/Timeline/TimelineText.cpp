#include "TimelineText.h"

#include <array>
#include <chrono>
#include <iomanip>
#include <sstream>

namespace buckthornwing {
namespace internal {

constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kSecondsPerMinute = 60;
constexpr std::int64_t kSecondsPerHour = 3600;
constexpr std::int64_t kHoursPerDay = 24;

/// \brief A table column of numbers and its width in characters.
struct Column
{
  const char* name;
  int width;
};

constexpr int kTimeWidth = 8;
constexpr int kZoneWidth = 10;
constexpr std::array<Column, 14> kColumns{ {
  { "open", 6 },
  { "held", 6 },
  { "m-lost", 7 },
  { "m-back", 7 },
  { "s-lost", 7 },
  { "s-back", 7 },
  { "behind", 7 },
  { "age-ms", 7 },
  { "susp", 6 },
  { "dead", 6 },
  { "trust", 6 },
  { "busy", 6 },
  { "queue-ms", 9 },
  { "stall", 6 },
} };

/// \returns the numbers of a row in the order of \c kColumns.
std::array<std::uint64_t, kColumns.size()>
numbersOf(const SecondCounts& counts)
{
  return { counts.placedFlows,
           counts.held,
           counts.membersLost,
           counts.membersJoined,
           counts.storeLost,
           counts.storeRegained,
           counts.staleViews,
           static_cast<std::uint64_t>(counts.maxViewAge.ms),
           counts.targetsSuspected,
           counts.targetsDead,
           counts.targetsTrusted,
           counts.busyLinks,
           static_cast<std::uint64_t>(counts.maxBacklog.ms),
           counts.stalls };
}

/// \returns the counts as "name=count, name=count", or "-" if there are none.
std::string
formatTally(const Tally& tally)
{
  std::string text;
  for (const NamedCount& entry : tally.counts()) {
    text += (text.empty() ? "" : ", ") + entry.name + "=" +
            std::to_string(entry.count);
  }
  return text.empty() ? "-" : text;
}

std::string
formatContradiction(const TimelineReport& report,
                    const Contradiction& contradiction)
{
  const MilliDuration offset = contradiction.offset;
  return "contradicted: " + report.names.nameOf(contradiction.instance) +
         " (zone " + std::string(report.zoneOf(contradiction.instance)) +
         ") heard of it " + std::to_string(std::abs(offset.ms)) + " ms " +
         (offset < MilliDuration{} ? "before" : "after");
}

}

std::string
formatCount(std::uint64_t count, std::string_view noun)
{
  return std::to_string(count) + " " + std::string(noun) +
         (count == 1 ? "" : "s");
}

std::string
formatClock(MilliTime wallTime)
{
  const std::int64_t seconds = wallTime.ms / internal::kMsPerSecond;
  std::ostringstream text;
  text << std::setfill('0') << std::setw(2)
       << seconds / internal::kSecondsPerHour % internal::kHoursPerDay << ':'
       << std::setw(2)
       << seconds / internal::kSecondsPerMinute % internal::kSecondsPerMinute
       << ':' << std::setw(2) << seconds % internal::kSecondsPerMinute;
  return text.str();
}

std::string
formatClockMs(MilliTime wallTime)
{
  std::ostringstream text;
  text << formatClock(wallTime) << '.' << std::setfill('0') << std::setw(3)
       << wallTime.ms % internal::kMsPerSecond;
  return text.str();
}

std::string
formatDate(MilliTime wallTime)
{
  const std::chrono::sys_time<std::chrono::milliseconds> time{
    std::chrono::milliseconds(wallTime.ms)
  };
  const std::chrono::year_month_day date{ std::chrono::floor<std::chrono::days>(
    time) };
  std::ostringstream text;
  text << static_cast<int>(date.year()) << '-' << std::setfill('0')
       << std::setw(2) << static_cast<unsigned>(date.month()) << '-'
       << std::setw(2) << static_cast<unsigned>(date.day());
  return text.str();
}

std::string
formatTableHeader()
{
  std::ostringstream text;
  text << std::left << std::setw(internal::kTimeWidth) << "time" << ' '
       << std::setw(internal::kZoneWidth) << "zone" << std::right;
  for (const internal::Column& column : internal::kColumns) {
    text << std::setw(column.width) << column.name;
  }
  text << "  resets | probes";
  return text.str();
}

std::string
formatRow(const TimelineRow& row)
{
  std::ostringstream text;
  text << formatClock(row.second) << ' ' << std::left
       << std::setw(internal::kZoneWidth) << row.zone << std::right;
  const auto numbers = internal::numbersOf(row.counts);
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    text << std::setw(internal::kColumns[i].width) << numbers[i];
  }
  text << "  " << internal::formatTally(row.counts.resets) << " | "
       << internal::formatTally(row.counts.probes);
  return text.str();
}

std::string
formatDeathDetection(const TimelineReport& report,
                     const DeathDetection& detection)
{
  std::string text = formatClockMs(detection.time) + " " +
                     report.names.nameOf(detection.instance) + " (zone " +
                     std::string(report.zoneOf(detection.instance)) +
                     ") found " + report.names.nameOf(detection.target) +
                     " dead (" + report.names.nameOf(detection.note) + "); ";
  text += detection.contradiction
            ? internal::formatContradiction(report, *detection.contradiction)
            : "not contradicted";
  if (!detection.resetFlows.empty()) {
    text += "; " + formatCount(detection.resetFlows.size(), "reset") + ":";
    for (const NameIndex flow : detection.resetFlows) {
      text += " [" + report.names.nameOf(flow) + "]";
    }
  }
  return text;
}

}
