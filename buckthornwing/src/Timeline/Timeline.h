#ifndef BUCKTHORNWING_TIMELINE_H
#define BUCKTHORNWING_TIMELINE_H

#include "LogLineParser.h"
#include "TimelineReport.h"

#include <map>

namespace buckthornwing {

/// \brief Counts what the instances of a fleet logged, by second and
/// availability zone, line by line.
///
/// Lines of several instances may be mixed; those of one instance come by time.
/// Keeps one record for each second and zone, and one for each finding about a
/// target.
class Timeline
{
public:
  /// \brief Takes a log line, with or without text before its object.
  void addLine(std::string_view text);

  /// \brief Counts a line that can't be read.
  void addMalformed() { ++this->malformed; }

  /// \returns what all lines tell; the timeline is empty afterwards.
  TimelineReport finish();

private:
  /// \brief Instances that are counted together: those of a zone, or one of
  /// which no start was logged yet.
  using GroupIndex = std::uint32_t;

  struct CellKey
  {
    std::int64_t second = 0;
    GroupIndex group = 0;

    auto operator<=>(const CellKey&) const = default;
  };

  struct KnownInstance
  {
    NameIndex name = 0;
    GroupIndex group = 0;
    std::int64_t behindSecond = -1; ///< the last in which its view was behind
    std::int64_t busySecond = -1;   ///< the last in which its link was busy
  };

  LogLineParser parser;
  std::uint64_t lines = 0;
  std::uint64_t malformed = 0;
  NameTable names;
  std::unordered_map<NameIndex, KnownInstance> instances;
  std::vector<std::string> groupZones; ///< by group
  std::unordered_map<std::string, GroupIndex> zoneGroups;
  std::map<CellKey, SecondCounts> cells;
  SightingList sightings;

  KnownInstance& instanceFor(std::string_view name);
  void onStart(const LogLine& line, KnownInstance& instance);
  void count(const LogLine& line, KnownInstance& instance);
  void countView(const LogLine& line,
                 KnownInstance& instance,
                 SecondCounts& counts);
  void countTraffic(const LogLine& line,
                    KnownInstance& instance,
                    SecondCounts& counts);
  void see(SightingKind kind,
           const LogLine& line,
           const KnownInstance& instance);
  std::vector<TimelineRow> takeRows();
};

}

#endif
