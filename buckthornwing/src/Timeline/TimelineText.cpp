#include "TimelineText.h"

#include <array>
#include <chrono>
#include <iomanip>
#include <sstream>

namespace buckthornwing {
namespace internal {

constexpr std::int64_t kMsOfSecond = 1000;
constexpr std::int64_t kSecondsOfMinute = 60;
constexpr std::int64_t kSecondsOfHour = 3600;
constexpr std::int64_t kHoursOfDay = 24;

/// \brief A column of numbers and its width in characters.
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

std::array<std::uint64_t, kColumns.size()>
numbersOf(const SecondCounts& counts)
{
  return { counts.openings,
           counts.held,
           counts.membersLost,
           counts.membersBack,
           counts.storeLost,
           counts.storeBack,
           counts.viewsBehind,
           static_cast<std::uint64_t>(counts.mostViewAge.ms),
           counts.targetsSuspected,
           counts.targetsDead,
           counts.targetsTrusted,
           counts.busyLinks,
           static_cast<std::uint64_t>(counts.mostBacklog.ms),
           counts.stalls };
}

/// \returns the counts as name=count, or "-" if there is none.
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
  const std::int64_t seconds = wallTime.ms / internal::kMsOfSecond;
  std::ostringstream text;
  text << std::setfill('0') << std::setw(2)
       << seconds / internal::kSecondsOfHour % internal::kHoursOfDay << ':'
       << std::setw(2)
       << seconds / internal::kSecondsOfMinute % internal::kSecondsOfMinute
       << ':' << std::setw(2) << seconds % internal::kSecondsOfMinute;
  return text.str();
}

std::string
formatClockMs(MilliTime wallTime)
{
  std::ostringstream text;
  text << formatClock(wallTime) << '.' << std::setfill('0') << std::setw(3)
       << wallTime.ms % internal::kMsOfSecond;
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
formatTableHead()
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
formatVerdict(const TimelineReport& report, const DeathVerdict& verdict)
{
  std::string text = formatClockMs(verdict.time) + " " +
                     report.names.nameOf(verdict.instance) + " (zone " +
                     std::string(report.zoneOf(verdict.instance)) + ") found " +
                     report.names.nameOf(verdict.target) + " dead (" +
                     report.names.nameOf(verdict.note) + "); ";
  text += verdict.contradiction
            ? internal::formatContradiction(report, *verdict.contradiction)
            : "not contradicted";
  if (!verdict.resetFlows.empty()) {
    text += "; " + formatCount(verdict.resetFlows.size(), "reset") + ":";
    for (const NameIndex flow : verdict.resetFlows) {
      text += " [" + report.names.nameOf(flow) + "]";
    }
  }
  return text;
}

}
