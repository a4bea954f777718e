#include "Timeline.h"

#include "../Steering/SteeringDecision.h"

#include <charconv>
#include <tuple>
#include <utility>

namespace buckthornwing {
namespace internal {

constexpr std::int64_t kSecondMs = 1000;
/// \brief A view that nobody confirmed for so long is behind.
constexpr MilliDuration kViewBehind{ 3000 };
/// \brief A process that did not tick for so long stood still.
constexpr MilliDuration kStall{ 250 };
constexpr std::string_view kZonePrefix = "zone ";
constexpr std::string_view kControlPrefix = "control: ";
constexpr std::string_view kLatePrefix = "late: ";
constexpr std::string_view kAlive = "alive";

std::string_view
withoutPrefix(std::string_view text, std::string_view prefix)
{
  return text.starts_with(prefix) ? text.substr(prefix.size()) : text;
}

/// \returns whether a probe with this result was answered by its target.
bool
isSignOfLife(std::string_view note)
{
  return withoutPrefix(withoutPrefix(note, kControlPrefix), kLatePrefix) ==
         kAlive;
}

/// \brief How many members joined and were lost at once.
struct MemberChange
{
  std::uint32_t joined = 0;
  std::uint32_t lost = 0;
};

/// \brief Parses "3 joined, 0 lost".
/// \returns nothing if \a note is something else.
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
countMembers(const LogLine& line, SecondCounts& counts)
{
  const auto change = parseMemberChange(line.note);
  if (change) {
    counts.membersBack += change->joined;
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
  KnownInstance& instance = this->instanceFor(line->instance);
  if (line->kind == LineKind::start) {
    this->onStart(*line, instance);
  }
  this->count(*line, instance);
}

Timeline::KnownInstance&
Timeline::instanceFor(std::string_view name)
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
Timeline::onStart(const LogLine& line, KnownInstance& instance)
{
  if (!line.note.starts_with(internal::kZonePrefix)) {
    return;
  }
  const std::string zone(
    internal::withoutPrefix(line.note, internal::kZonePrefix));
  if (this->groupZones[instance.group] == kUnknownZone) {
    // What it logged before is counted there too.
    this->groupZones[instance.group] = zone;
  }
  const auto [at, isNew] = this->zoneGroups.try_emplace(zone, instance.group);
  instance.group = at->second;
}

void
Timeline::count(const LogLine& line, KnownInstance& instance)
{
  const std::int64_t second = line.time.ms / internal::kSecondMs;
  SecondCounts& counts = this->cells[{ second, instance.group }];
  this->countView(line, instance, counts);
  switch (line.kind) {
    case LineKind::opening:
      ++counts.openings;
      break;
    case LineKind::reset:
      counts.resets.add(line.reason, 1);
      if (line.reason == steeringReasonName(SteeringReason::targetSilent)) {
        this->see(SightingKind::reset, line, instance);
      }
      break;
    case LineKind::held:
      ++counts.held;
      break;
    case LineKind::memberJoined:
      ++counts.membersBack;
      break;
    case LineKind::memberLost:
      ++counts.membersLost;
      break;
    case LineKind::membersChanged:
      internal::countMembers(line, counts);
      break;
    case LineKind::storeLost:
      ++counts.storeLost;
      break;
    case LineKind::storeRegained:
      ++counts.storeBack;
      break;
    case LineKind::targetSuspected:
      ++counts.targetsSuspected;
      this->see(SightingKind::suspected, line, instance);
      break;
    case LineKind::targetTrusted:
      ++counts.targetsTrusted;
      this->see(SightingKind::trusted, line, instance);
      break;
    case LineKind::targetDead:
      ++counts.targetsDead;
      this->see(SightingKind::dead, line, instance);
      break;
    case LineKind::targetProbed:
      counts.probes.add(line.note, 1);
      if (internal::isSignOfLife(line.note)) {
        this->see(SightingKind::probedAlive, line, instance);
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
Timeline::countView(const LogLine& line,
                    KnownInstance& instance,
                    SecondCounts& counts)
{
  const MilliDuration age = std::max(line.targetsAge.value_or(MilliDuration{}),
                                     line.routesAge.value_or(MilliDuration{}));
  if (age <= internal::kViewBehind) {
    return;
  }
  counts.mostViewAge = std::max(counts.mostViewAge, age);
  const std::int64_t second = line.time.ms / internal::kSecondMs;
  if (std::exchange(instance.behindSecond, second) != second) {
    ++counts.viewsBehind;
  }
}

void
Timeline::countTraffic(const LogLine& line,
                       KnownInstance& instance,
                       SecondCounts& counts)
{
  const bool stoodStill = line.tickGap > internal::kStall;
  if (stoodStill) {
    ++counts.stalls;
  }
  counts.mostBacklog = std::max(counts.mostBacklog, line.backlog);
  // A line without a queue may tell of a stall alone.
  if (stoodStill && line.backlog == MilliDuration{}) {
    return;
  }
  const std::int64_t second = line.time.ms / internal::kSecondMs;
  if (std::exchange(instance.busySecond, second) != second) {
    ++counts.busyLinks;
  }
}

void
Timeline::see(SightingKind kind,
              const LogLine& line,
              const KnownInstance& instance)
{
  const bool isReset = kind == SightingKind::reset;
  const std::string_view target = isReset ? line.target : line.subject;
  const std::string_view detail = isReset ? line.flow : line.note;
  this->sightings.push_back({ line.time,
                              this->names.indexOf(target),
                              instance.name,
                              this->names.indexOf(detail),
                              kind });
}

std::vector<TimelineRow>
Timeline::takeRows()
{
  std::map<std::pair<std::int64_t, std::string>, SecondCounts> merged;
  while (!this->cells.empty()) {
    const auto cell = this->cells.extract(this->cells.begin());
    const std::string& zone = this->groupZones[cell.key().group];
    merged[{ cell.key().second, zone }].add(cell.mapped());
  }
  std::vector<TimelineRow> rows;
  rows.reserve(merged.size());
  while (!merged.empty()) {
    auto cell = merged.extract(merged.begin());
    rows.push_back({ MilliTime{ cell.key().first * internal::kSecondMs },
                     std::move(cell.key().second),
                     std::move(cell.mapped()) });
  }
  return rows;
}

TimelineReport
Timeline::finish()
{
  std::stable_sort(this->sightings.begin(),
                   this->sightings.end(),
                   [](const TargetSighting& left, const TargetSighting& right) {
                     return std::tie(left.target, left.time) <
                            std::tie(right.target, right.time);
                   });
  TimelineReport report;
  report.lines = std::exchange(this->lines, 0);
  report.malformed = std::exchange(this->malformed, 0);
  report.rows = this->takeRows();
  report.suspicions = findSuspicions(this->sightings);
  report.verdicts = findDeathVerdicts(this->sightings);
  for (const auto& [name, instance] : this->instances) {
    report.zones.emplace(name, this->groupZones[instance.group]);
  }
  report.names = std::exchange(this->names, {});
  this->sightings.clear();
  this->instances.clear();
  this->groupZones.clear();
  this->zoneGroups.clear();
  return report;
}

}
