#include "TimelineSvg.h"

#include "TimelineText.h"

#include <algorithm>
#include <array>
#include <map>
#include <span>
#include <sstream>

namespace buckthornwing {
namespace internal {

constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kMaxColumns = 600;
// Widths, heights and gaps are in pixels.
constexpr std::int64_t kLabelWidth = 130;
constexpr std::int64_t kMaxColumnWidth = 12;
constexpr std::int64_t kPlotWidth = 1200;
constexpr std::int64_t kLaneHeight = 14;
constexpr std::int64_t kZoneGap = 10;
constexpr std::int64_t kHeaderHeight = 24;
constexpr std::int64_t kTimeLabelWidth = 70;
/// \brief Opacity of a column with very few events, so that a single event is
/// visible.
constexpr double kMinOpacity = 0.25;

std::uint64_t
totalResets(const SecondCounts& counts)
{
  std::uint64_t sum = 0;
  for (const NamedCount& entry : counts.resets.counts()) {
    sum += entry.count;
  }
  return sum;
}

/// \brief A horizontal strip of the image that shows one count of a zone.
struct Lane
{
  const char* name;
  const char* color;
  std::uint64_t (*valueOf)(const SecondCounts&);
};

constexpr std::array<Lane, 9> kLanes{ {
  { "openings",
    "#4477aa",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.placedFlows;
    } },
  { "resets", "#cc3311", totalResets },
  { "held",
    "#ee7733",
    [](const SecondCounts& counts) -> std::uint64_t { return counts.held; } },
  { "suspected",
    "#aa8800",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.targetsSuspected;
    } },
  { "dead",
    "#000000",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.targetsDead;
    } },
  { "members lost",
    "#aa3377",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.membersLost;
    } },
  { "store lost",
    "#663399",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.storeLost;
    } },
  { "views behind",
    "#228833",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.staleViews;
    } },
  { "busy links",
    "#009988",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.busyLinks;
    } },
} };

/// \brief Height of the lanes of one zone with their title and the gap below.
constexpr std::int64_t kBandHeight =
  kLaneHeight * static_cast<std::int64_t>(kLanes.size() + 1) + kZoneGap;

std::string
escapeXml(std::string_view text)
{
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      default:
        // XML does not allow most control characters.
        escaped += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  return escaped;
}

/// \brief The counts of one zone by column.
using Columns = std::map<std::int64_t, SecondCounts>;

/// \brief Mapping between times, columns and pixels.
struct Scale
{
  MilliTime start{}; ///< of the first column, wall clock
  std::int64_t columns = 1;
  std::int64_t secondsPerColumn = 1;
  std::int64_t columnWidth = 1; ///< pixels

  std::int64_t columnOf(MilliTime second) const
  {
    return (second - this->start).ms / kSecondMs / this->secondsPerColumn;
  }

  MilliTime timeOf(std::int64_t column) const
  {
    return this->start +
           MilliDuration{ column * this->secondsPerColumn * kSecondMs };
  }

  std::int64_t xOf(std::int64_t column) const
  {
    return kLabelWidth + column * this->columnWidth;
  }
};

/// \param rows at least one, sorted by second
Scale
makeScale(std::span<const TimelineRow> rows)
{
  Scale scale;
  scale.start = rows.front().second;
  const std::int64_t seconds =
    (rows.back().second - scale.start).ms / kSecondMs + 1;
  scale.secondsPerColumn = (seconds + kMaxColumns - 1) / kMaxColumns;
  scale.columns =
    (seconds + scale.secondsPerColumn - 1) / scale.secondsPerColumn;
  scale.columnWidth =
    std::clamp(kPlotWidth / scale.columns, std::int64_t{ 1 }, kMaxColumnWidth);
  return scale;
}

std::map<std::string_view, Columns>
columnsByZone(std::span<const TimelineRow> rows, const Scale& scale)
{
  std::map<std::string_view, Columns> zones;
  for (const TimelineRow& row : rows) {
    zones[row.zone][scale.columnOf(row.second)].add(row.counts);
  }
  return zones;
}

/// \returns the maximum of a lane over all zones and columns.
std::uint64_t
maxValue(const Lane& lane, const std::map<std::string_view, Columns>& zones)
{
  std::uint64_t maximum = 0;
  for (const auto& [zone, columns] : zones) {
    for (const auto& [column, counts] : columns) {
      maximum = std::max(maximum, lane.valueOf(counts));
    }
  }
  return maximum;
}

void
drawText(std::int64_t x,
         std::int64_t y,
         std::string_view text,
         std::ostream& svg)
{
  svg << "<text x=\"" << x << "\" y=\"" << y << "\">" << escapeXml(text)
      << "</text>\n";
}

/// \param maximum of the lane over all zones; gives the darkest shade
/// \param y of the lane's upper edge, in pixels
void
drawLane(const Lane& lane,
         std::uint64_t maximum,
         const Columns& columns,
         const Scale& scale,
         std::int64_t y,
         std::ostream& svg)
{
  drawText(0, y + kLaneHeight - 3, lane.name, svg);
  for (const auto& [column, counts] : columns) {
    const std::uint64_t value = lane.valueOf(counts);
    if (value == 0) {
      continue;
    }
    const double fraction =
      static_cast<double>(value) / static_cast<double>(maximum);
    svg << "<rect x=\"" << scale.xOf(column) << "\" y=\"" << y << "\" width=\""
        << scale.columnWidth << "\" height=\"" << kLaneHeight - 1
        << "\" fill=\"" << lane.color << "\" fill-opacity=\""
        << kMinOpacity + (1 - kMinOpacity) * fraction << "\"><title>"
        << formatClock(scale.timeOf(column)) << ' ' << lane.name << ' ' << value
        << "</title></rect>\n";
  }
}

void
drawTimeLabels(const Scale& scale, std::ostream& svg)
{
  const std::int64_t step =
    (kTimeLabelWidth + scale.columnWidth - 1) / scale.columnWidth;
  for (std::int64_t column = 0; column < scale.columns; column += step) {
    drawText(
      scale.xOf(column), kLaneHeight, formatClock(scale.timeOf(column)), svg);
  }
}

void
drawHeader(const Scale& scale, std::size_t zones, std::ostream& svg)
{
  const std::int64_t width = scale.xOf(scale.columns) + kTimeLabelWidth;
  const std::int64_t height =
    kHeaderHeight + static_cast<std::int64_t>(zones) * kBandHeight;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
      << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
}

}

std::string
drawTimelineSvg(const TimelineReport& report)
{
  std::ostringstream svg;
  if (report.rows.empty()) {
    return "<svg xmlns=\"http://www.w3.org/2000/svg\"/>\n";
  }
  const internal::Scale scale = internal::makeScale(report.rows);
  const auto zones = internal::columnsByZone(report.rows, scale);
  internal::drawHeader(scale, zones.size(), svg);
  internal::drawTimeLabels(scale, svg);
  std::int64_t top = internal::kHeaderHeight;
  for (const auto& [zone, columns] : zones) {
    std::int64_t y = top;
    internal::drawText(
      0, y + internal::kLaneHeight - 3, "zone " + std::string(zone), svg);
    for (const internal::Lane& lane : internal::kLanes) {
      y += internal::kLaneHeight;
      internal::drawLane(
        lane, internal::maxValue(lane, zones), columns, scale, y, svg);
    }
    top += internal::kBandHeight;
  }
  svg << "</svg>\n";
  return svg.str();
}

}
