#include "ZoneRoom.h"

#include "FlowSample.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Requests per slot of a zone that has no room left.
constexpr double kFullLoad = 1.0;
/// \brief Requests per slot by which the other zone must be less loaded for any
/// flow to move. The round trip between zones takes about as long as one
/// request.
constexpr double kMinLoadDifference = 1.0;
/// \brief Requests per slot beyond kMinLoadDifference at which all flows move.
constexpr double kMoveAllDifference = 3.0;
/// \brief Salt of sampleOf().
constexpr std::uint64_t kZoneSalt = 0x7a6f6e65;

}

void
ZoneRoom::add(const ApertureTarget& target, const TargetLoad& load)
{
  this->targets.push_back(target);
  if (target.isEligible) {
    this->busy += load.busy + load.peerBusy;
    this->capacity += target.capacity;
  }
}

std::optional<double>
ZoneRoom::load() const
{
  return this->capacity > 0 ? std::optional(this->busy / this->capacity)
                            : std::nullopt;
}

ZoneRoom&
roomOf(std::vector<ZoneRoom>& rooms, std::string_view zone)
{
  const auto found =
    std::find_if(rooms.begin(), rooms.end(), [zone](const ZoneRoom& room) {
      return room.zone == zone;
    });
  if (found != rooms.end()) {
    return *found;
  }
  rooms.push_back({ zone, {}, 0, 0 });
  return rooms.back();
}

ZoneRoom*
chooseOtherZone(const ZoneRoom& own, std::vector<ZoneRoom>& others, FlowId flow)
{
  const std::optional<double> ownLoad = own.load();
  if (!ownLoad || *ownLoad <= internal::kFullLoad) {
    return nullptr;
  }
  ZoneRoom* best = nullptr;
  double bestLoad = internal::kFullLoad;
  for (ZoneRoom& other : others) {
    const double load = other.load().value_or(internal::kFullLoad);
    if (load < bestLoad) {
      best = &other;
      bestLoad = load;
    }
  }
  const double excess = *ownLoad - bestLoad - internal::kMinLoadDifference;
  const bool moves =
    sampleOf(flow, internal::kZoneSalt) * internal::kMoveAllDifference < excess;
  return moves ? best : nullptr;
}

}
