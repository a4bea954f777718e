#include "TargetRegistry.h"

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
  target.wasDraining = change.record.state == TargetState::draining;
}

void
TargetRegistry::remove(KnownTarget& target, MilliTime now)
{
  if (target.presence == TargetPresence::gone) {
    return;
  }
  const bool mayReturn = this->keepsLapsed && !target.wasDraining &&
                         now < this->lastFailureAt + internal::kLapsedTimeout;
  target.presence = mayReturn ? TargetPresence::lapsed : TargetPresence::gone;
  target.changedAt = now;
}

bool
TargetRegistry::apply(const TargetChange& change,
                      MilliTime now,
                      TargetSlot& slot)
{
  slot = this->find(change.id);
  if (slot == kNoTargetSlot) {
    if (change.kind != ChangeKind::listed) {
      return false;
    }
    slot = this->slotFor(change.id);
  }
  KnownTarget& target = this->known[slot];
  if (change.revision <= target.revision) {
    return false;
  }
  target.revision = change.revision;
  switch (change.kind) {
    case ChangeKind::listed:
      this->list(target, change, now);
      this->byNumber[target.record.number] = slot;
      break;
    case ChangeKind::unreadable:
      target.record.state = TargetState::draining;
      break;
    case ChangeKind::gone:
      this->remove(target, now);
      break;
  }
  return true;
}

void
TargetRegistry::advance(std::uint64_t asOf, MilliTime now)
{
  if (!this->loaded()) {
    this->firstLoadedAt = now;
  }
  this->asOfRevision =
    std::max({ this->asOfRevision, asOf, this->changeRevision });
}

std::vector<TargetSlot>
TargetRegistry::applyChanges(std::uint64_t asOf,
                             std::span<const TargetChange> changes,
                             MilliTime now)
{
  std::vector<TargetSlot> changed;
  for (const TargetChange& change : changes) {
    TargetSlot slot = kNoTargetSlot;
    this->changeRevision = std::max(this->changeRevision, change.revision);
    if (this->apply(change, now, slot)) {
      changed.push_back(slot);
    }
  }
  this->advance(asOf, now);
  return changed;
}

std::vector<TargetSlot>
TargetRegistry::applySnapshot(std::uint64_t asOf,
                              std::span<const TargetChange> listed,
                              MilliTime now)
{
  std::vector<TargetSlot> changed = this->applyChanges(0, listed, now);
  std::set<std::string_view> ids;
  for (const TargetChange& change : listed) {
    ids.insert(change.id);
  }
  for (const auto& [id, slot] : this->byId) {
    KnownTarget& target = this->known[slot];
    const bool hasLeft = target.presence == TargetPresence::listed &&
                         target.revision <= asOf && !ids.contains(id);
    if (hasLeft) {
      target.revision = asOf;
      this->changeRevision = std::max(this->changeRevision, asOf);
      this->remove(target, now);
      changed.push_back(slot);
    }
  }
  this->advance(asOf, now);
  return changed;
}

std::vector<TargetSlot>
TargetRegistry::tick(MilliTime now)
{
  std::vector<TargetSlot> changed;
  for (TargetSlot slot = 0; slot < this->known.size(); ++slot) {
    KnownTarget& target = this->known[slot];
    if (!target.used) {
      continue;
    }
    if (target.presence == TargetPresence::lapsed &&
        now >= target.changedAt + internal::kLapsedTimeout) {
      target.presence = TargetPresence::gone;
      target.changedAt = now;
      changed.push_back(slot);
    } else if (target.presence == TargetPresence::gone &&
               now >= target.changedAt + internal::kTombstoneLifetime) {
      this->forget(slot);
      changed.push_back(slot);
    }
  }
  return changed;
}

void
TargetRegistry::forget(TargetSlot slot)
{
  KnownTarget& target = this->known[slot];
  this->forgottenRevision = std::max(this->forgottenRevision, target.revision);
  this->byId.erase(target.record.id);
  this->byNumber.erase(target.record.number);
  target.used = false;
  this->freeSlots.push_back(slot);
}

std::vector<TargetChange>
TargetRegistry::changesSince(std::uint64_t revision, bool& isFull) const
{
  isFull = revision == 0 || revision < this->forgottenRevision;
  std::vector<TargetChange> changes;
  for (const KnownTarget& target : this->known) {
    const bool wanted =
      target.used && (isFull ? target.presence == TargetPresence::listed
                             : target.revision > revision);
    if (!wanted) {
      continue;
    }
    TargetChange change{
      target.record.id, target.revision, ChangeKind::gone, {}
    };
    if (target.presence == TargetPresence::listed) {
      change.kind = ChangeKind::listed;
      change.record = target.record;
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}
