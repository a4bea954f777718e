#ifndef BUCKTHORNWING_SOAK_DAY_H
#define BUCKTHORNWING_SOAK_DAY_H

#include "Faults.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing::soak {

/// \brief Kind of an event of a day.
enum class DayEventKind : std::uint8_t
{
  release,     ///< the targets of a service are replaced one after the other
  scaleIn,     ///< some targets of a service are drained and taken away
  storm,       ///< the configuration changes several times
  roll,        ///< the instances are stopped and started in turn
  killAll,     ///< all instances are killed
  drill,       ///< the store comes back from an older copy of its data
  storeDown,   ///< the store refuses all requests of the instances
  dropHistory, ///< the store drops its history of changes
  lapse,       ///< the store loses all registrations
  oddEntry,    ///< another writer leaves an entry
  evacuate,    ///< the operator evacuates a zone and withdraws that later
};

/// \brief An event of a day. Which fields matter depends on its kind.
struct DayEvent
{
  DayEventKind kind = DayEventKind::release;
  MilliDuration at{};      ///< time from the start of the day
  std::size_t service = 0; ///< index in the deployment
  std::size_t zone = 0;    ///< index in the deployment
  std::size_t count = 1;
  MilliDuration gap{};      ///< time between two parts of the event
  MilliDuration duration{}; ///< of the disruption or evacuation
  MilliDuration copyAge{};  ///< age of the copy when the store goes away
};

/// \brief Parses a day from JSON; docs/PLATFORM.md lists the fields.
/// \param source names the text in errors
/// \returns the events, or an error that lists all wrong fields
boost::leaf::result<std::vector<DayEvent>>
parseDay(std::string_view text, const std::string& source);

/// \brief Schedules the events of a day, which starts now.
void
playDay(const std::vector<DayEvent>& day,
        emulator::EmulationParts& parts,
        Faults& faults);

/// \returns the time from the start of a day to the last part of an event.
MilliDuration
lengthOf(const std::vector<DayEvent>& day,
         const emulator::Deployment& deployment);

}

#endif
