#ifndef BUCKTHORNWING_TARGET_REGISTRY_H
#define BUCKTHORNWING_TARGET_REGISTRY_H

#include "TargetRecord.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief State of a target's registration.
enum class TargetPresence : std::uint8_t
{
  listed,
  lapsed, ///< vanished while the store was failing; may register again
  gone,   ///< removed; kept as a tombstone to recognize its flows
};

/// \brief Position of a target in a TargetRegistry.
using TargetSlot = std::uint32_t;
inline constexpr TargetSlot kNoTargetSlot = 0xffffffff;

/// \brief A target and the state of its registration.
struct KnownTarget
{
  TargetRecord record;
  std::uint64_t revision = 0; ///< of its last change
  TargetPresence presence = TargetPresence::gone;
  MilliTime changedAt{};    ///< last change of presence, or last listing
  bool used = false;        ///< false: the slot is free
  bool wasDraining = false; ///< it was draining when it was last listed

  /// \returns whether new flows may be assigned to it.
  bool takesNewFlows() const
  {
    return this->used && this->presence != TargetPresence::gone &&
           this->record.state == TargetState::serving;
  }
};

/// \brief All targets that flows may belong to, with the revision of the
/// store's registry.
///
/// Revisions only increase: a change is ignored unless its revision is above
/// that of the target's last change.
class TargetRegistry
{
public:
  /// \brief Applies a list of changes.
  /// \param asOf revision up to which the list is complete
  /// \returns the slots that changed
  std::vector<TargetSlot> applyChanges(std::uint64_t asOf,
                                       std::span<const TargetChange> changes,
                                       MilliTime now);

  /// \brief Applies a complete list. Targets that are missing from it are
  /// removed, unless their last change is after \a asOf.
  /// \param asOf revision of the list, from which later changes continue
  /// \returns the slots that changed
  std::vector<TargetSlot> applySnapshot(std::uint64_t asOf,
                                        std::span<const TargetChange> listed,
                                        MilliTime now);

  /// \brief Sets whether entries that vanish while the store is failing are
  /// kept as lapsed. If not, they are removed at once.
  void setKeepsLapsed(bool keeps) { this->keepsLapsed = keeps; }

  /// \brief Records a failure of the store. Entries that vanish shortly after
  /// it are kept as lapsed, because their servers may register again.
  void recordStoreFailure(MilliTime at)
  {
    this->lastFailureAt = std::max(this->lastFailureAt, at);
  }

  /// \brief Removes targets that have been lapsed for too long, and deletes old
  /// tombstones.
  /// \returns the slots that changed
  std::vector<TargetSlot> tick(MilliTime now);

  /// \returns whether any revision of the store is known.
  bool loaded() const { return this->asOfRevision > 0; }
  /// \returns the revision of the store from which further changes continue.
  std::uint64_t revision() const { return this->asOfRevision; }
  /// \returns the revision of the newest change of any target.
  std::uint64_t lastChange() const { return this->changeRevision; }
  /// \returns the time of the last known failure of the store.
  MilliTime lastStoreFailure() const { return this->lastFailureAt; }
  /// \returns the time at which the first targets were loaded.
  MilliTime loadedAt() const { return this->firstLoadedAt; }

  std::span<const KnownTarget> targets() const { return this->known; }
  const KnownTarget& at(TargetSlot slot) const { return this->known[slot]; }
  /// \returns the target with an id, or kNoTargetSlot.
  TargetSlot find(std::string_view id) const;
  /// \returns the target with a number, or kNoTargetSlot.
  TargetSlot findNumber(std::uint64_t number) const;

  /// \returns all changes after a revision; a complete list if the revision is
  /// 0, or if the tombstone of a later removal was deleted already.
  /// \param isFull set to whether the list is complete
  std::vector<TargetChange> changesSince(std::uint64_t revision,
                                         bool& isFull) const;

private:
  std::vector<KnownTarget> known;
  std::vector<TargetSlot> freeSlots;
  std::map<std::string, TargetSlot, std::less<>> byId;
  std::map<std::uint64_t, TargetSlot> byNumber;
  std::uint64_t asOfRevision = 0;
  std::uint64_t changeRevision = 0;
  std::uint64_t forgottenRevision = 0; ///< of the newest deleted tombstone
  bool keepsLapsed = true;
  MilliTime lastFailureAt{ -1000000 };
  MilliTime firstLoadedAt{};

  TargetSlot slotFor(const std::string& id);
  void advance(std::uint64_t asOf, MilliTime now);
  bool apply(const TargetChange& change, MilliTime now, TargetSlot& slot);
  void list(KnownTarget& target, const TargetChange& change, MilliTime now);
  void remove(KnownTarget& target, MilliTime now);
  void forget(TargetSlot slot);
};

}

#endif
