#include "TargetRegistry.h"

#include "../Core/Hash.h"

#include <algorithm>
#include <set>

namespace buckthornwing {
namespace internal {

/// \brief Time after a store failure during which vanished entries are kept as
/// lapsed, and time that each of them is kept. Live servers register again
/// within 2 s after the store has recovered; the remainder allows for the
/// propagation of that change.
constexpr MilliDuration kLapsedTimeout{ 2300 };
/// \brief Time that a removed target is kept; longer than the lifetime of any
/// flow.
constexpr MilliDuration kTombstoneLifetime{ 90000 };

std::uint64_t
digestOf(const KnownTarget& target)
{
  return mixWords(target.key.bits, target.version.revision);
}

/// \returns whether an entry can't be the one that a target writes: it has the
/// start time of the known process and another address, or none although the
/// process wrote it before. A process keeps its address.
bool
contradicts(const TargetRecord& entry, const TargetRecord& known)
{
  const bool isSameStart = entry.incarnation == known.incarnation;
  return known.incarnation != 0 && entry.address != known.address &&
         (isSameStart || entry.incarnation == 0);
}

}

TargetSlot
TargetRegistry::find(std::string_view id) const
{
  const auto found = this->byId.find(id);
  return found == this->byId.end() ? kNoTargetSlot : found->second;
}

TargetSlot
TargetRegistry::find(ShortTargetKey key) const
{
  const auto found = this->byShortKey.find(key);
  return found == this->byShortKey.end() ? kNoTargetSlot : found->second;
}

TargetSlot
TargetRegistry::add(const TargetChange& change)
{
  TargetSlot slot = static_cast<TargetSlot>(this->known.size());
  if (this->freeSlots.empty()) {
    this->known.emplace_back();
  } else {
    slot = this->freeSlots.back();
    this->freeSlots.pop_back();
    this->known[slot] = KnownTarget{};
  }
  KnownTarget& target = this->known[slot];
  target.used = true;
  target.key = targetKeyOf(change.id);
  this->byId[change.id] = slot;
  this->byShortKey[target.key.shortened()] = slot;
  target.record.number = change.record.number;
  target.isUnproven = ++this->idsByNumber[change.record.number] > 1;
  this->conflicts += target.isUnproven ? 1 : 0;
  return slot;
}

void
TargetRegistry::releaseNumber(const KnownTarget& target)
{
  const auto ids = this->idsByNumber.find(target.record.number);
  if (--ids->second == 0) {
    this->idsByNumber.erase(ids);
  }
}

void
TargetRegistry::list(KnownTarget& target,
                     const TargetChange& change,
                     MilliTime now)
{
  this->releaseNumber(target);
  ++this->idsByNumber[change.record.number];
  target.record = change.record;
  target.presence = TargetPresence::listed;
  target.changedAt = now;
  target.warmAt = now + change.record.remainingWarmup;
  target.isRenewedByAnswer = false;
  target.awaitsRenewal =
    change.awaitsRenewal && change.record.state == TargetState::serving;
  target.wasDraining =
    target.awaitsRenewal || change.record.state == TargetState::draining;
}

void
TargetRegistry::restore(KnownTarget& target,
                        const TargetChange& change,
                        MilliTime now)
{
  if (change.record.incarnation < target.record.incarnation) {
    // The entry describes an earlier process of the target.
    target.changedAt = now;
    return;
  }
  const bool isSameProcess =
    change.record.incarnation == target.record.incarnation;
  const bool hadLeft = target.presence == TargetPresence::gone ||
                       target.record.state == TargetState::draining ||
                       target.awaitsRenewal;
  const bool hasVanished =
    target.presence == TargetPresence::gone && !target.wasDraining;
  TargetChange restored = change;
  restored.awaitsRenewal = change.awaitsRenewal || (isSameProcess && hadLeft);
  this->list(target, restored, now);
  target.isRenewedByAnswer = target.awaitsRenewal && hasVanished;
}

void
TargetRegistry::onUnreadable(KnownTarget& target)
{
  target.record.state = TargetState::draining;
  target.awaitsRenewal = false;
}

bool
TargetRegistry::onAnswer(TargetSlot slot)
{
  KnownTarget& target = this->known[slot];
  if (!target.used || !target.needsAnswer()) {
    return false;
  }
  if (target.isRenewedByAnswer) {
    target.awaitsRenewal = false;
    target.isRenewedByAnswer = false;
    target.wasDraining = false;
  }
  target.isUnproven = false;
  return true;
}

void
TargetRegistry::remove(KnownTarget& target, MilliTime now)
{
  if (target.presence == TargetPresence::gone) {
    return;
  }
  const bool mayReturn = this->rules.keepsLapsed && !target.wasDraining &&
                         now < this->lastFailureAt + internal::kLapsedTimeout;
  target.presence = mayReturn ? TargetPresence::lapsed : TargetPresence::gone;
  target.changedAt = now;
}

bool
TargetRegistry::hasLeftSince(const Source& source,
                             const TargetChange& change) const
{
  return source.asOf < this->position() &&
         this->position().covers(change.version);
}

void
TargetRegistry::apply(const TargetChange& change,
                      const Source& source,
                      MilliTime now,
                      std::vector<TargetSlot>& changed)
{
  TargetSlot slot = this->find(change.id);
  const bool isNew = slot == kNoTargetSlot;
  if (isNew) {
    if (change.kind != ChangeKind::listed ||
        this->hasLeftSince(source, change)) {
      return;
    }
    slot = this->add(change);
  }
  KnownTarget& target = this->known[slot];
  if (change.version <= target.version) {
    return;
  }
  const bool isRestored =
    source.isListing && !isNew && change.version.era > target.version.era;
  target.version = change.version;
  switch (change.kind) {
    case ChangeKind::listed:
      if (!isNew && internal::contradicts(change.record, target.record)) {
        this->onUnreadable(target);
      } else if (isRestored) {
        this->restore(target, change, now);
      } else {
        this->list(target, change, now);
      }
      break;
    case ChangeKind::unreadable:
      this->onUnreadable(target);
      break;
    case ChangeKind::gone:
      this->remove(target, now);
      break;
  }
  changed.push_back(slot);
}

std::vector<TargetSlot>
TargetRegistry::applyAll(std::span<const TargetChange> changes,
                         const Source& source,
                         MilliTime now)
{
  std::vector<TargetSlot> changed;
  for (const TargetChange& change : changes) {
    this->newestChange = std::max(this->newestChange, change.version);
    this->apply(change, source, now, changed);
  }
  return changed;
}

void
TargetRegistry::advance(const StorePosition& newPosition, MilliTime now)
{
  if (!this->loaded()) {
    this->firstLoadedAt = now;
  }
  this->asOf = std::max(this->position(), newPosition);
}

std::optional<std::vector<TargetSlot>>
TargetRegistry::applyDelta(const TargetDelta& delta, MilliTime now)
{
  const bool continues = this->loaded() && delta.base <= this->position() &&
                         delta.base.era == this->position().era &&
                         delta.asOf.era == this->position().era &&
                         delta.asOf >= delta.base;
  if (!continues) {
    return std::nullopt;
  }
  std::vector<TargetSlot> changed =
    this->applyAll(delta.changes, { delta.asOf, false }, now);
  this->advance(delta.asOf, now);
  return changed;
}

std::vector<TargetSlot>
TargetRegistry::applyListing(const TargetListing& listing, MilliTime now)
{
  const bool isNewEra =
    this->loaded() && listing.asOf.era > this->position().era;
  const ChangeVersion listedAt{ listing.asOf.era, listing.asOf.revision };
  std::vector<TargetSlot> changed =
    this->applyAll(listing.listed, { listing.asOf, true }, now);
  std::set<std::string_view> ids;
  for (const TargetChange& change : listing.listed) {
    ids.insert(change.id);
  }
  for (const auto& [id, slot] : this->byId) {
    KnownTarget& target = this->known[slot];
    if (!listing.asOf.covers(target.version) || ids.contains(id)) {
      continue;
    }
    if (target.presence == TargetPresence::listed) {
      target.version = listedAt;
      this->remove(target, now);
      changed.push_back(slot);
    } else if (target.presence == TargetPresence::lapsed && isNewEra) {
      target.changedAt = now;
    }
  }
  // Targets may have been removed up to this position that were never known
  // here, but are known to peers.
  this->newestChange = std::max(this->newestChange, listedAt);
  this->advance(listing.asOf, now);
  return changed;
}

std::uint64_t
TargetRegistry::digest(const StorePosition& upTo) const
{
  std::uint64_t sum = 0;
  for (const KnownTarget& target : this->known) {
    const bool isIncluded = target.used && upTo.covers(target.version) &&
                            target.presence == TargetPresence::listed;
    sum += isIncluded ? internal::digestOf(target) : 0;
  }
  return sum;
}

bool
TargetRegistry::agreesWith(const TargetDelta& delta) const
{
  if (!delta.unchangedDigest || delta.asOf <= this->position()) {
    return true;
  }
  std::uint64_t sum = 0;
  for (const KnownTarget& target : this->known) {
    const bool isListed =
      target.used && target.presence == TargetPresence::listed;
    sum += isListed ? internal::digestOf(target) : 0;
  }
  std::set<TargetSlot> changed;
  for (const TargetChange& change : delta.changes) {
    const TargetSlot slot = this->find(change.id);
    const bool isCounted =
      slot != kNoTargetSlot &&
      this->known[slot].presence == TargetPresence::listed &&
      changed.insert(slot).second;
    sum -= isCounted ? internal::digestOf(this->known[slot]) : 0;
  }
  return sum == *delta.unchangedDigest;
}

StorePosition
TargetRegistry::contentPosition() const
{
  const StorePosition current = this->position();
  const bool isKnown = this->newestChange.era == current.era &&
                       this->newestChange.revision > 0 &&
                       current.covers(this->newestChange);
  return isKnown ? StorePosition{ current.era, this->newestChange.revision }
                 : current;
}

bool
TargetRegistry::tickTarget(TargetSlot slot, MilliTime completeAt, MilliTime now)
{
  KnownTarget& target = this->known[slot];
  if (target.presence == TargetPresence::lapsed &&
      now >= target.changedAt + internal::kLapsedTimeout) {
    target.presence = TargetPresence::gone;
    target.changedAt = now;
    return true;
  }
  if (target.presence == TargetPresence::gone &&
      now >= target.changedAt + internal::kTombstoneLifetime) {
    this->forget(slot);
    this->freeSlots.push_back(slot);
    return true;
  }
  if (target.awaitsRenewal && target.presence == TargetPresence::listed &&
      completeAt >= target.changedAt + this->rules.registrationLifetime) {
    target.awaitsRenewal = false;
    target.wasDraining = false;
    return true;
  }
  return false;
}

std::vector<TargetSlot>
TargetRegistry::tick(MilliTime completeAt, MilliTime now)
{
  std::vector<TargetSlot> changed;
  for (TargetSlot slot = 0; slot < this->known.size(); ++slot) {
    if (this->known[slot].used && this->tickTarget(slot, completeAt, now)) {
      changed.push_back(slot);
    }
  }
  return changed;
}

void
TargetRegistry::forget(TargetSlot slot)
{
  KnownTarget& target = this->known[slot];
  this->newestForgotten = std::max(this->newestForgotten, target.version);
  this->byId.erase(target.record.id);
  const auto named = this->byShortKey.find(target.key.shortened());
  if (named != this->byShortKey.end() && named->second == slot) {
    this->byShortKey.erase(named);
  }
  this->releaseNumber(target);
  target.used = false;
}

std::vector<TargetChange>
TargetRegistry::changesSince(const std::optional<StorePosition>& since,
                             bool& isFull,
                             MilliTime now) const
{
  isFull = !since || since->era != this->position().era ||
           !since->covers(this->newestForgotten);
  std::vector<TargetChange> changes;
  for (const KnownTarget& target : this->known) {
    const bool isWanted =
      target.used && (isFull ? target.presence == TargetPresence::listed
                             : !since->covers(target.version));
    if (!isWanted) {
      continue;
    }
    TargetChange change;
    change.id = target.record.id;
    change.version = target.version;
    if (target.presence == TargetPresence::listed) {
      change.kind = ChangeKind::listed;
      change.record = target.record;
      change.record.remainingWarmup = target.remainingWarmup(now);
      change.awaitsRenewal = target.awaitsRenewal;
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}
