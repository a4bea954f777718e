#ifndef BUCKTHORNWING_TIMELINE_H
#define BUCKTHORNWING_TIMELINE_H

#include "LogLineParser.h"
#include "TimelineReport.h"

#include <map>

namespace buckthornwing {

/// \brief Aggregates the log lines of the instances of a fleet by second and
/// availability zone.
///
/// Lines of different instances may be added in any order; those of one
/// instance must be added in the order of their times. Memory grows with the
/// number of seconds and zones and with the number of logged events about
/// targets.
class Timeline
{
public:
  /// \brief Adds a log line, with or without text before its JSON object. A
  /// line that can't be parsed is counted as malformed.
  void addLine(std::string_view text);

  /// \brief Counts a malformed line that is not passed to \c addLine, such as
  /// one that is too long.
  void addMalformed() { ++this->malformed; }

  /// \returns the report on all lines that were added. The timeline is empty
  /// afterwards.
  TimelineReport finish();

private:
  /// \brief Index of a group of instances that are counted together: those of
  /// one zone, or a single instance whose start was not logged yet.
  using GroupIndex = std::uint32_t;

  struct CountsKey
  {
    std::int64_t second = 0;
    GroupIndex group = 0;

    auto operator<=>(const CountsKey&) const = default;
  };

  /// \brief What is known of one instance.
  struct InstanceState
  {
    NameIndex name = 0;
    GroupIndex group = 0;
    std::int64_t lastStaleSecond = -1; ///< last in which its view was stale
    std::int64_t lastBusySecond = -1;  ///< last in which its link was busy
  };

  LogLineParser parser;
  std::uint64_t lines = 0;
  std::uint64_t malformed = 0;
  NameTable names;
  std::unordered_map<NameIndex, InstanceState> instances;
  std::vector<std::string> groupZones; ///< zone of each group, by index
  std::unordered_map<std::string, GroupIndex> zoneGroups; ///< by zone
  std::map<CountsKey, SecondCounts> countsByKey;
  TargetEventList targetEvents;

  InstanceState& findOrAddInstance(std::string_view name);
  /// \brief Takes the instance's zone from its start line.
  void onStart(const LogLine& line, InstanceState& instance);
  void count(const LogLine& line, InstanceState& instance);
  /// \brief Counts the instance at most once a second if its view is stale.
  void countStaleView(const LogLine& line,
                      InstanceState& instance,
                      SecondCounts& counts);
  /// \brief Counts a stall, and the instance at most once a second if its link
  /// is busy.
  void countTraffic(const LogLine& line,
                    InstanceState& instance,
                    SecondCounts& counts);
  void addTargetEvent(TargetEventKind kind,
                      const LogLine& line,
                      const InstanceState& instance);
  /// \returns the counts merged by second and zone; none are kept.
  std::vector<TimelineRow> takeRows();
};

}

#endif
