#include "Timeline.h"

#include "../Steering/SteeringDecision.h"

#include <charconv>
#include <tuple>
#include <utility>

namespace buckthornwing {
namespace internal {

constexpr std::int64_t kSecondMs = 1000;
/// \brief A view whose last confirmation is older than this is stale.
constexpr MilliDuration kStaleViewAge{ 3000 };
/// \brief A longer time between two ticks of a process is a stall.
constexpr MilliDuration kStallThreshold{ 250 };
constexpr std::string_view kZonePrefix = "zone ";
constexpr std::string_view kControlPrefix = "control: ";
constexpr std::string_view kLatePrefix = "late: ";
constexpr std::string_view kAlive = "alive";

std::string_view
withoutPrefix(std::string_view text, std::string_view prefix)
{
  return text.starts_with(prefix) ? text.substr(prefix.size()) : text;
}

/// \param note of a log line about a probe
/// \returns whether the target responded to the probe.
bool
isAnswered(std::string_view note)
{
  return withoutPrefix(withoutPrefix(note, kControlPrefix), kLatePrefix) ==
         kAlive;
}

/// \brief Numbers of members that joined and were lost in one change.
struct MemberChange
{
  std::uint32_t joined = 0;
  std::uint32_t lost = 0;
};

/// \brief Parses a note such as "3 joined, 0 lost".
/// \returns the numbers, nothing if \a note has another form.
std::optional<MemberChange>
parseMemberChange(std::string_view note)
{
  constexpr std::string_view kBetween = " joined, ";
  MemberChange change;
  const char* end = note.data() + note.size();
  const auto joined = std::from_chars(note.data(), end, change.joined);
  const std::string_view rest(joined.ptr, end);
  if (joined.ec != std::errc() || !rest.starts_with(kBetween)) {
    return std::nullopt;
  }
  const auto lost =
    std::from_chars(joined.ptr + kBetween.size(), end, change.lost);
  if (lost.ec != std::errc() || std::string_view(lost.ptr, end) != " lost") {
    return std::nullopt;
  }
  return change;
}

void
countMemberChange(const LogLine& line, SecondCounts& counts)
{
  const auto change = parseMemberChange(line.note);
  if (change) {
    counts.membersJoined += change->joined;
    counts.membersLost += change->lost;
  }
}

}

void
Timeline::addLine(std::string_view text)
{
  const auto line = this->parser.parse(text);
  if (!line) {
    this->addMalformed();
    return;
  }
  ++this->lines;
  InstanceState& instance = this->findOrAddInstance(line->instance);
  if (line->kind == LineKind::start) {
    this->onStart(*line, instance);
  }
  this->count(*line, instance);
}

Timeline::InstanceState&
Timeline::findOrAddInstance(std::string_view name)
{
  const NameIndex index = this->names.indexOf(name);
  const auto [at, isNew] = this->instances.try_emplace(index);
  if (isNew) {
    at->second.name = index;
    at->second.group = static_cast<GroupIndex>(this->groupZones.size());
    this->groupZones.emplace_back(kUnknownZone);
  }
  return at->second;
}

void
Timeline::onStart(const LogLine& line, InstanceState& instance)
{
  if (!line.note.starts_with(internal::kZonePrefix)) {
    return;
  }
  const std::string zone(
    internal::withoutPrefix(line.note, internal::kZonePrefix));
  if (this->groupZones[instance.group] == kUnknownZone) {
    // Lines that it logged before its start are counted in this zone too.
    this->groupZones[instance.group] = zone;
  }
  const auto [at, isNew] = this->zoneGroups.try_emplace(zone, instance.group);
  instance.group = at->second;
}

void
Timeline::count(const LogLine& line, InstanceState& instance)
{
  const std::int64_t second = line.time.ms / internal::kSecondMs;
  SecondCounts& counts = this->countsByKey[{ second, instance.group }];
  this->countStaleView(line, instance, counts);
  switch (line.kind) {
    case LineKind::flowPlaced:
      ++counts.placedFlows;
      break;
    case LineKind::reset:
      counts.resets.add(line.reason, 1);
      if (line.reason == steeringReasonName(SteeringReason::targetSilent)) {
        this->addTargetEvent(TargetEventKind::reset, line, instance);
      }
      break;
    case LineKind::held:
      ++counts.held;
      break;
    case LineKind::memberJoined:
      ++counts.membersJoined;
      break;
    case LineKind::memberLost:
      ++counts.membersLost;
      break;
    case LineKind::membersChanged:
      internal::countMemberChange(line, counts);
      break;
    case LineKind::storeLost:
      ++counts.storeLost;
      break;
    case LineKind::storeRegained:
      ++counts.storeRegained;
      break;
    case LineKind::targetSuspected:
      ++counts.targetsSuspected;
      this->addTargetEvent(TargetEventKind::suspected, line, instance);
      break;
    case LineKind::targetTrusted:
      ++counts.targetsTrusted;
      this->addTargetEvent(TargetEventKind::trusted, line, instance);
      break;
    case LineKind::targetDead:
      ++counts.targetsDead;
      this->addTargetEvent(TargetEventKind::dead, line, instance);
      break;
    case LineKind::targetProbed:
      counts.probes.add(line.note, 1);
      if (internal::isAnswered(line.note)) {
        this->addTargetEvent(TargetEventKind::probedAlive, line, instance);
      }
      break;
    case LineKind::traffic:
      this->countTraffic(line, instance, counts);
      break;
    case LineKind::paused:
      ++counts.stalls;
      break;
    case LineKind::start:
    case LineKind::other:
      break;
  }
}

void
Timeline::countStaleView(const LogLine& line,
                         InstanceState& instance,
                         SecondCounts& counts)
{
  const MilliDuration age = std::max(line.targetsAge.value_or(MilliDuration{}),
                                     line.routesAge.value_or(MilliDuration{}));
  if (age <= internal::kStaleViewAge) {
    return;
  }
  counts.maxViewAge = std::max(counts.maxViewAge, age);
  const std::int64_t second = line.time.ms / internal::kSecondMs;
  if (std::exchange(instance.lastStaleSecond, second) != second) {
    ++counts.staleViews;
  }
}

void
Timeline::countTraffic(const LogLine& line,
                       InstanceState& instance,
                       SecondCounts& counts)
{
  const bool isStalled = line.tickGap > internal::kStallThreshold;
  if (isStalled) {
    ++counts.stalls;
  }
  counts.maxBacklog = std::max(counts.maxBacklog, line.backlog);
  // The line was logged for the stall alone if there is no backlog.
  if (isStalled && line.backlog == MilliDuration{}) {
    return;
  }
  const std::int64_t second = line.time.ms / internal::kSecondMs;
  if (std::exchange(instance.lastBusySecond, second) != second) {
    ++counts.busyLinks;
  }
}

void
Timeline::addTargetEvent(TargetEventKind kind,
                         const LogLine& line,
                         const InstanceState& instance)
{
  const bool isReset = kind == TargetEventKind::reset;
  const std::string_view target = isReset ? line.target : line.subject;
  const std::string_view detail = isReset ? line.flow : line.note;
  this->targetEvents.push_back({ line.time,
                                 this->names.indexOf(target),
                                 instance.name,
                                 this->names.indexOf(detail),
                                 kind });
}

std::vector<TimelineRow>
Timeline::takeRows()
{
  std::map<std::pair<std::int64_t, std::string>, SecondCounts> merged;
  while (!this->countsByKey.empty()) {
    const auto entry = this->countsByKey.extract(this->countsByKey.begin());
    const std::string& zone = this->groupZones[entry.key().group];
    merged[{ entry.key().second, zone }].add(entry.mapped());
  }
  std::vector<TimelineRow> rows;
  rows.reserve(merged.size());
  while (!merged.empty()) {
    auto entry = merged.extract(merged.begin());
    rows.push_back({ MilliTime{ entry.key().first * internal::kSecondMs },
                     std::move(entry.key().second),
                     std::move(entry.mapped()) });
  }
  return rows;
}

TimelineReport
Timeline::finish()
{
  std::stable_sort(this->targetEvents.begin(),
                   this->targetEvents.end(),
                   [](const TargetEvent& left, const TargetEvent& right) {
                     return std::tie(left.target, left.time) <
                            std::tie(right.target, right.time);
                   });
  TimelineReport report;
  report.lines = std::exchange(this->lines, 0);
  report.malformed = std::exchange(this->malformed, 0);
  report.rows = this->takeRows();
  report.suspicions = findSuspicions(this->targetEvents);
  report.detections = findDeathDetections(this->targetEvents);
  for (const auto& [name, instance] : this->instances) {
    report.zones.emplace(name, this->groupZones[instance.group]);
  }
  report.names = std::exchange(this->names, {});
  this->targetEvents.clear();
  this->instances.clear();
  this->groupZones.clear();
  this->zoneGroups.clear();
  return report;
}

}
