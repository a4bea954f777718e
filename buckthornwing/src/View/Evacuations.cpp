#include "Evacuations.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

using Zones = std::vector<Evacuation>;

bool
isBefore(const Evacuation& evacuation, std::string_view zone)
{
  return evacuation.zone < zone;
}

Zones::iterator
placeOf(Zones& zones, std::string_view zone)
{
  return std::lower_bound(zones.begin(), zones.end(), zone, isBefore);
}

bool
contains(const Zones& zones, std::string_view zone)
{
  const auto at = std::lower_bound(zones.begin(), zones.end(), zone, isBefore);
  return at != zones.end() && at->zone == zone;
}

/// \brief Adds an evacuation, or replaces an earlier version of it.
void
put(Zones& zones, const Evacuation& evacuation)
{
  if (!isZoneName(evacuation.zone)) {
    return;
  }
  const auto at = placeOf(zones, evacuation.zone);
  if (at == zones.end() || at->zone != evacuation.zone) {
    zones.insert(at, evacuation);
  } else if (evacuation.version > at->version) {
    *at = evacuation;
  }
}

void
withdraw(Zones& zones, const EvacuationChange& change)
{
  const auto at = placeOf(zones, change.zone);
  if (at != zones.end() && at->zone == change.zone &&
      at->version < change.version) {
    zones.erase(at);
  }
}

/// \brief Shortens a list to the newest evacuations that the bounds admit.
void
keepNewest(Zones& zones)
{
  std::sort(
    zones.begin(), zones.end(), [](const auto& left, const auto& right) {
      return left.version > right.version;
    });
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < std::min(zones.size(), Evacuations::kMaxZones)) {
    bytes += zones[count].zone.size();
    if (bytes > Evacuations::kMaxNameBytes) {
      break;
    }
    ++count;
  }
  zones.resize(count);
  std::sort(
    zones.begin(), zones.end(), [](const auto& left, const auto& right) {
      return left.zone < right.zone;
    });
}

}

void
Evacuations::applyListing(const EvacuationListing& listing, MilliTime now)
{
  if (this->current && listing.asOf < this->current->asOf) {
    return;
  }
  EvacuationList list{ listing.asOf, {} };
  for (const EvacuationChange& change : listing.listed) {
    internal::put(list.zones, { change.zone, change.version });
  }
  this->replace(std::move(list), now);
}

bool
Evacuations::applyDelta(const EvacuationDelta& delta, MilliTime now)
{
  const bool continues = this->current && delta.base <= this->current->asOf &&
                         delta.asOf.era == this->current->asOf.era;
  if (!continues) {
    return false;
  }
  EvacuationList list = *this->current;
  list.asOf = std::max(list.asOf, delta.asOf);
  for (const EvacuationChange& change : delta.changes) {
    if (this->current->asOf.covers(change.version)) {
      continue;
    }
    if (change.isWithdrawn) {
      internal::withdraw(list.zones, change);
    } else {
      internal::put(list.zones, { change.zone, change.version });
    }
  }
  internal::keepNewest(list.zones);
  this->current = std::move(list);
  this->removeExpired(now);
  return true;
}

void
Evacuations::merge(const EvacuationList& ofPeer, MilliTime now)
{
  if (this->current && ofPeer.asOf <= this->current->asOf) {
    return;
  }
  EvacuationList list{ ofPeer.asOf, {} };
  for (const Evacuation& evacuation : ofPeer.zones) {
    internal::put(list.zones, evacuation);
  }
  this->replace(std::move(list), now);
}

void
Evacuations::replace(EvacuationList list, MilliTime now)
{
  if (!this->current || this->current->asOf.era < list.asOf.era) {
    this->eraSeenAt = now;
  }
  for (const Evacuation& known : this->zones()) {
    const bool isUnknownToList =
      known.version.era < list.asOf.era || !list.asOf.covers(known.version);
    if (isUnknownToList && !internal::contains(list.zones, known.zone)) {
      internal::put(list.zones, known);
    }
  }
  internal::keepNewest(list.zones);
  this->current = std::move(list);
  this->removeExpired(now);
}

void
Evacuations::removeExpired(MilliTime now)
{
  if (this->current) {
    std::erase_if(this->current->zones, [&](const Evacuation& evacuation) {
      return this->isExpired(evacuation, now);
    });
  }
}

std::optional<StorePosition>
Evacuations::position() const
{
  return this->current ? std::optional(this->current->asOf) : std::nullopt;
}

std::span<const Evacuation>
Evacuations::zones() const
{
  return this->current ? std::span<const Evacuation>(this->current->zones)
                       : std::span<const Evacuation>();
}

bool
Evacuations::isLost(const Evacuation& evacuation) const
{
  return evacuation.version.era < this->current->asOf.era;
}

bool
Evacuations::isExpired(const Evacuation& evacuation, MilliTime now) const
{
  return this->isLost(evacuation) &&
         now - this->eraSeenAt >= kLostEvacuationLifetime;
}

}
