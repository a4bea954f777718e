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
  return mixWords(hashText(target.record.id), target.version.revision);
}

/// \returns an id with each digit after its last dash replaced by 0. The ids of
/// a deployment's targets are made alike, those of other writers are not.
std::string
idForm(std::string_view id)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  const std::size_t dash = id.rfind('-');
  std::string form(id);
  for (std::size_t i = dash == std::string_view::npos ? 0 : dash + 1;
       i < form.size();
       ++i) {
    if (kDigits.find(form[i]) != std::string_view::npos) {
      form[i] = '0';
    }
  }
  return form;
}

}

TargetSlot
TargetRegistry::find(std::string_view id) const
{
  const auto found = this->byId.find(id);
  return found == this->byId.end() ? kNoTargetSlot : found->second;
}

TargetSlot
TargetRegistry::findNumber(std::uint64_t number) const
{
  const auto found = this->byNumber.find(number);
  return found == this->byNumber.end() ? kNoTargetSlot : found->second;
}

TargetSlot
TargetRegistry::slotFor(const std::string& id)
{
  const auto [entry, isNew] = this->byId.try_emplace(id, kNoTargetSlot);
  if (!isNew) {
    return entry->second;
  }
  if (this->freeSlots.empty()) {
    entry->second = static_cast<TargetSlot>(this->known.size());
    this->known.emplace_back();
  } else {
    entry->second = this->freeSlots.back();
    this->freeSlots.pop_back();
    this->known[entry->second] = KnownTarget{};
  }
  this->known[entry->second].used = true;
  return entry->second;
}

void
TargetRegistry::list(KnownTarget& target,
                     const TargetChange& change,
                     MilliTime now)
{
  target.record = change.record;
  target.presence = TargetPresence::listed;
  target.changedAt = now;
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

bool
TargetRegistry::onAnswer(TargetSlot slot)
{
  KnownTarget& target = this->known[slot];
  if (!target.used || !target.awaitsRenewal || !target.isRenewedByAnswer) {
    return false;
  }
  target.awaitsRenewal = false;
  target.isRenewedByAnswer = false;
  target.wasDraining = false;
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

void
TargetRegistry::countForms(std::span<const TargetChange> listed)
{
  this->byForm.clear();
  for (const auto& [id, slot] : this->byId) {
    ++this->byForm[internal::idForm(id)];
  }
  for (const TargetChange& change : listed) {
    if (change.kind == ChangeKind::listed && !this->byId.contains(change.id)) {
      ++this->byForm[internal::idForm(change.id)];
    }
  }
}

std::size_t
TargetRegistry::countForm(std::string_view id) const
{
  const auto found = this->byForm.find(internal::idForm(id));
  return found == this->byForm.end() ? 0 : found->second;
}

bool
TargetRegistry::claimNumber(const TargetChange& change,
                            std::vector<TargetSlot>& changed)
{
  const TargetSlot holder = this->findNumber(change.record.number);
  if (holder == kNoTargetSlot) {
    return true;
  }
  ++this->conflicts;
  if (this->countForm(change.id) <=
      this->countForm(this->known[holder].record.id)) {
    return false;
  }
  this->forget(holder);
  this->replacedSlots.push_back(holder);
  changed.push_back(holder);
  return true;
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
        this->hasLeftSince(source, change) ||
        !this->claimNumber(change, changed)) {
      return;
    }
    if (!source.isListing) {
      ++this->byForm[internal::idForm(change.id)];
    }
    slot = this->slotFor(change.id);
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
      if (isRestored) {
        this->restore(target, change, now);
      } else {
        this->list(target, change, now);
      }
      this->byNumber[target.record.number] = slot;
      break;
    case ChangeKind::unreadable:
      target.record.state = TargetState::draining;
      target.awaitsRenewal = false;
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
  // A slot is not reused before its users have been told that it changed.
  this->freeSlots.insert(this->freeSlots.end(),
                         this->replacedSlots.begin(),
                         this->replacedSlots.end());
  this->replacedSlots.clear();
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
  this->countForms(listing.listed);
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
  const auto numbered = this->byNumber.find(target.record.number);
  if (numbered != this->byNumber.end() && numbered->second == slot) {
    this->byNumber.erase(numbered);
  }
  target.used = false;
}

std::vector<TargetChange>
TargetRegistry::changesSince(const std::optional<StorePosition>& since,
                             bool& isFull) const
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
      change.awaitsRenewal = target.awaitsRenewal;
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}
