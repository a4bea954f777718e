#include "Day.h"

#include <src/Io/SettingsText.h>

#include <algorithm>

namespace buckthornwing::soak {
namespace internal {

constexpr std::uint64_t kMaxMs = 600000;
constexpr std::uint64_t kMaxCount = 1000;

MilliDuration
parseMs(JsonReader& reader, std::string_view name, std::uint64_t standard)
{
  return MilliDuration{ static_cast<std::int64_t>(
    reader.number(name, 0, kMaxMs, standard)) };
}

DayEvent
parseEvent(JsonReader& reader)
{
  DayEvent event;
  event.kind = static_cast<DayEventKind>(reader.choice("kind",
                                                       { "release",
                                                         "scale_in",
                                                         "storm",
                                                         "roll",
                                                         "kill_all",
                                                         "drill",
                                                         "store_down",
                                                         "drop_history",
                                                         "lapse",
                                                         "odd_entry",
                                                         "evacuate" }));
  event.at.ms = static_cast<std::int64_t>(reader.number("at_ms", 0, kMaxMs));
  event.service = reader.number("service", 0, kMaxCount, 0);
  event.zone = reader.number("zone", 0, kMaxCount, 0);
  event.count = reader.number("count", 0, kMaxCount, 1);
  event.gap = parseMs(reader, "gap_ms", 330);
  event.duration = parseMs(reader, "for_ms", 500);
  event.copyAge = parseMs(reader, "copy_age_ms", 4000);
  reader.reportUnknownFields();
  return event;
}

std::vector<DayEvent>
parseEvents(JsonReader& reader, Problems& problems)
{
  std::vector<DayEvent> events;
  const boost::json::array* list = reader.array("events");
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    JsonReader fields(
      (*list)[i], "$.events[" + std::to_string(i) + "]", problems);
    events.push_back(parseEvent(fields));
  }
  return events;
}

void
play(const DayEvent& event, emulator::EmulationParts& parts, Faults& faults)
{
  const std::size_t service = event.service % parts.deployment.services.size();
  switch (event.kind) {
    case DayEventKind::release:
      parts.targets.release(service, event.gap);
      break;
    case DayEventKind::scaleIn:
      parts.targets.scaleIn(service, event.count);
      break;
    case DayEventKind::storm:
      faults.changeRoutes(event.count, event.gap);
      break;
    case DayEventKind::roll:
      faults.roll(event.gap);
      break;
    case DayEventKind::killAll:
      faults.killAll(event.duration);
      break;
    case DayEventKind::drill:
      faults.drill(event.copyAge, event.duration);
      break;
    case DayEventKind::storeDown:
      faults.breakStore(standin::StoreFault::busy, event.duration);
      break;
    case DayEventKind::dropHistory:
      faults.dropHistory();
      break;
    case DayEventKind::lapse:
      faults.expireRegistrations(event.duration);
      break;
    case DayEventKind::oddEntry:
      parts.targets.putOddEntry(event.count);
      break;
    case DayEventKind::evacuate:
      faults.evacuate(
        parts.deployment.zones[event.zone % parts.deployment.zones.size()].name,
        event.duration);
      break;
  }
}

/// \returns the number of parts of an event that follow each other.
std::size_t
partsOf(const DayEvent& event, const emulator::Deployment& deployment)
{
  switch (event.kind) {
    case DayEventKind::roll:
      return deployment.instanceCount();
    case DayEventKind::release:
      return deployment.targetCount();
    case DayEventKind::storm:
      return event.count;
    default:
      return 0;
  }
}

/// \returns when an event begins to have effect. A drill begins with the copy.
MilliDuration
startOf(const DayEvent& event)
{
  const bool isDrill = event.kind == DayEventKind::drill;
  return MilliDuration{ std::max<std::int64_t>(
    0, event.at.ms - (isDrill ? event.copyAge.ms : 0)) };
}

}

boost::leaf::result<std::vector<DayEvent>>
parseDay(std::string_view text, const std::string& source)
{
  return buckthornwing::internal::parseSettingsText<std::vector<DayEvent>>(
    text, source, internal::parseEvents);
}

void
playDay(const std::vector<DayEvent>& day,
        emulator::EmulationParts& parts,
        Faults& faults)
{
  for (const DayEvent& event : day) {
    parts.timers.after(internal::startOf(event), [event, &parts, &faults] {
      internal::play(event, parts, faults);
    });
  }
}

MilliDuration
lengthOf(const std::vector<DayEvent>& day,
         const emulator::Deployment& deployment)
{
  MilliDuration length{};
  for (const DayEvent& event : day) {
    const std::size_t parts = internal::partsOf(event, deployment);
    const bool isEvacuation = event.kind == DayEventKind::evacuate;
    const MilliDuration end{ event.at.ms +
                             static_cast<std::int64_t>(parts) * event.gap.ms +
                             (isEvacuation ? event.duration.ms : 0) };
    length = std::max(length, end);
  }
  return length;
}

}
