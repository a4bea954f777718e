#include "TimelinePicture.h"

#include "TimelineText.h"

#include <algorithm>
#include <array>
#include <map>
#include <span>
#include <sstream>

namespace buckthornwing {
namespace internal {

constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kMostColumns = 600;
/// \brief Sizes in pixels.
constexpr std::int64_t kLabelWidth = 130;
constexpr std::int64_t kMostColumnWidth = 12;
constexpr std::int64_t kPictureWidth = 1200;
constexpr std::int64_t kLaneHeight = 14;
constexpr std::int64_t kZoneGap = 10;
constexpr std::int64_t kHeadHeight = 24;
constexpr std::int64_t kTimeLabelWidth = 70;
/// \brief The lightest shade of a lane, so that one event is seen.
constexpr double kLeastShade = 0.25;

std::uint64_t
resetsOf(const SecondCounts& counts)
{
  std::uint64_t sum = 0;
  for (const NamedCount& entry : counts.resets.counts()) {
    sum += entry.count;
  }
  return sum;
}

/// \brief One thing that is drawn of each zone.
struct Lane
{
  const char* name;
  const char* color;
  std::uint64_t (*weigh)(const SecondCounts&);
};

constexpr std::array<Lane, 9> kLanes{ {
  { "openings",
    "#4477aa",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.openings;
    } },
  { "resets", "#cc3311", resetsOf },
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
      return counts.viewsBehind;
    } },
  { "busy links",
    "#009988",
    [](const SecondCounts& counts) -> std::uint64_t {
      return counts.busyLinks;
    } },
} };

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
        // XML has no control characters.
        escaped += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  return escaped;
}

using Columns = std::map<std::int64_t, SecondCounts>;

/// \brief How seconds become columns.
struct Scale
{
  MilliTime start{};
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

/// \param rows at least one, by second
Scale
makeScale(std::span<const TimelineRow> rows)
{
  Scale scale;
  scale.start = rows.front().second;
  const std::int64_t seconds =
    (rows.back().second - scale.start).ms / kSecondMs + 1;
  scale.secondsPerColumn = (seconds + kMostColumns - 1) / kMostColumns;
  scale.columns =
    (seconds + scale.secondsPerColumn - 1) / scale.secondsPerColumn;
  scale.columnWidth = std::clamp(
    kPictureWidth / scale.columns, std::int64_t{ 1 }, kMostColumnWidth);
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

/// \returns the most that any zone has of a lane in a column.
std::uint64_t
mostOf(const Lane& lane, const std::map<std::string_view, Columns>& zones)
{
  std::uint64_t most = 0;
  for (const auto& [zone, columns] : zones) {
    for (const auto& [column, counts] : columns) {
      most = std::max(most, lane.weigh(counts));
    }
  }
  return most;
}

void
drawText(std::int64_t x,
         std::int64_t y,
         std::string_view text,
         std::ostream& picture)
{
  picture << "<text x=\"" << x << "\" y=\"" << y << "\">" << escapeXml(text)
          << "</text>\n";
}

void
drawLane(const Lane& lane,
         std::uint64_t most,
         const Columns& columns,
         const Scale& scale,
         std::int64_t y,
         std::ostream& picture)
{
  drawText(0, y + kLaneHeight - 3, lane.name, picture);
  for (const auto& [column, counts] : columns) {
    const std::uint64_t weight = lane.weigh(counts);
    if (weight == 0) {
      continue;
    }
    const double share =
      static_cast<double>(weight) / static_cast<double>(most);
    picture << "<rect x=\"" << scale.xOf(column) << "\" y=\"" << y
            << "\" width=\"" << scale.columnWidth << "\" height=\""
            << kLaneHeight - 1 << "\" fill=\"" << lane.color
            << "\" fill-opacity=\"" << kLeastShade + (1 - kLeastShade) * share
            << "\"><title>" << formatClock(scale.timeOf(column)) << ' '
            << lane.name << ' ' << weight << "</title></rect>\n";
  }
}

void
drawTimes(const Scale& scale, std::ostream& picture)
{
  const std::int64_t step =
    (kTimeLabelWidth + scale.columnWidth - 1) / scale.columnWidth;
  for (std::int64_t column = 0; column < scale.columns; column += step) {
    drawText(scale.xOf(column),
             kLaneHeight,
             formatClock(scale.timeOf(column)),
             picture);
  }
}

void
drawHead(const Scale& scale, std::size_t zones, std::ostream& picture)
{
  const std::int64_t width = scale.xOf(scale.columns) + kTimeLabelWidth;
  const std::int64_t height =
    kHeadHeight + static_cast<std::int64_t>(zones) * kBandHeight;
  picture << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
          << "\" height=\"" << height
          << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
          << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
}

}

std::string
drawTimeline(const TimelineReport& report)
{
  std::ostringstream picture;
  if (report.rows.empty()) {
    return "<svg xmlns=\"http://www.w3.org/2000/svg\"/>\n";
  }
  const internal::Scale scale = internal::makeScale(report.rows);
  const auto zones = internal::columnsByZone(report.rows, scale);
  internal::drawHead(scale, zones.size(), picture);
  internal::drawTimes(scale, picture);
  std::int64_t top = internal::kHeadHeight;
  for (const auto& [zone, columns] : zones) {
    std::int64_t y = top;
    internal::drawText(
      0, y + internal::kLaneHeight - 3, "zone " + std::string(zone), picture);
    for (const internal::Lane& lane : internal::kLanes) {
      y += internal::kLaneHeight;
      internal::drawLane(
        lane, internal::mostOf(lane, zones), columns, scale, y, picture);
    }
    top += internal::kBandHeight;
  }
  picture << "</svg>\n";
  return picture.str();
}

}
