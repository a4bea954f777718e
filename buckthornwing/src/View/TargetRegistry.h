#ifndef BUCKTHORNWING_TARGET_REGISTRY_H
#define BUCKTHORNWING_TARGET_REGISTRY_H

#include "TargetRecord.h"

#include <algorithm>
#include <map>
#include <optional>
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
  TargetKey key;
  ChangeVersion version; ///< of its last change
  TargetPresence presence = TargetPresence::gone;
  MilliTime changedAt{}; ///< last change of presence, or last listing
  /// Time from which it is warm, by this instance's clock. Not before the true
  /// time: an entry that took long to arrive names an earlier remaining time.
  MilliTime warmAt{};
  bool used = false;        ///< false: the slot is free
  bool wasDraining = false; ///< it was draining when it was last listed
  /// It had left or was draining, and the store came back from an older copy in
  /// which it serves. It takes no new flows until its entry changes, or has
  /// outlived the lifetime of a registration that is not renewed.
  bool awaitsRenewal = false;
  /// It awaits renewal because it had left, without draining. An answer to a
  /// probe shows that it has not.
  bool isRenewedByAnswer = false;
  /// Another target that was known before has its number, so one of the two
  /// entries names no target. It takes no new flows until it answers a probe.
  bool isUnproven = false;

  /// \returns whether an answer to a probe would let it take new flows.
  bool needsAnswer() const
  {
    return this->isRenewedByAnswer || this->isUnproven;
  }

  /// \returns the time until it is warm; 0 if it is.
  MilliDuration remainingWarmup(MilliTime now) const
  {
    return std::max(this->warmAt - now, MilliDuration{});
  }

  /// \returns whether it has started and bears few requests yet.
  bool isCold(MilliTime now) const
  {
    return this->used && this->presence != TargetPresence::gone &&
           now < this->warmAt;
  }

  /// \returns whether new flows may be assigned to it.
  bool takesNewFlows() const
  {
    return this->used && this->presence != TargetPresence::gone &&
           this->record.state == TargetState::serving && !this->awaitsRenewal &&
           !this->isUnproven;
  }
};

/// \brief The changes of targets between two positions of the store's history.
struct TargetDelta
{
  StorePosition base; ///< the changes continue from here
  StorePosition asOf;
  std::span<const TargetChange> changes;
  /// TargetRegistry::digest() of the sender's targets that did not change after
  /// \a base. Set by peers: one that has listed the targets does not know which
  /// ones were removed before.
  std::optional<std::uint64_t> unchangedDigest{};
};

/// \brief All targets of the store. It contains every change up to \a asOf, and
/// may contain some later ones, because its pages are read one after another.
struct TargetListing
{
  StorePosition asOf;
  std::span<const TargetChange> listed;
};

/// \brief Rules for entries that vanish or that an older copy brings back.
struct RegistryRules
{
  /// Entries that vanish while the store is failing are kept as lapsed. If
  /// false, they are removed at once.
  bool keepsLapsed = true;
  /// Time after which the store removes an entry that its target does not
  /// renew.
  MilliDuration registrationLifetime{ 6000 };
};

/// \brief All targets that flows may belong to, with the position in the
/// store's history up to which their changes have been applied.
///
/// Targets are told apart by their ids. Entries of two ids may have one number,
/// if another writer made one of them; see KnownTarget::isUnproven.
///
/// A target's versions only increase: a change is ignored unless its version is
/// above that of the target's last change. The position is raised only by lists
/// that continue from it or are complete, never by the version of a change.
class TargetRegistry
{
public:
  void setRules(const RegistryRules& newRules) { this->rules = newRules; }

  /// \returns whether the targets that a delta does not change are the same
  /// here and at its sender. If not, the sender's complete list is needed.
  bool agreesWith(const TargetDelta& delta) const;

  /// \brief Applies the changes since a position that this registry holds.
  /// \returns the slots that changed; nothing, without a change, if the changes
  /// do not continue from the position of this registry
  std::optional<std::vector<TargetSlot>> applyDelta(const TargetDelta& delta,
                                                    MilliTime now);

  /// \brief Applies a complete list. Targets that are missing from it are
  /// removed, unless they changed after the list's position. A list of a new
  /// era comes from an older copy of the store: what it contradicts stays as it
  /// is until the target's entry changes.
  /// \returns the slots that changed
  std::vector<TargetSlot> applyListing(const TargetListing& listing,
                                       MilliTime now);

  /// \brief Ends the wait for a target's answer after it has answered a probe.
  /// \returns whether the target changed
  bool onAnswer(TargetSlot slot);

  /// \brief Records a failure of the store. Entries that vanish shortly after
  /// it are kept as lapsed, because their servers may register again.
  void recordStoreFailure(MilliTime at)
  {
    this->lastFailureAt = std::max(this->lastFailureAt, at);
  }

  /// \brief Removes targets that have been lapsed for too long, deletes old
  /// tombstones, and ends the wait for renewals.
  /// \param completeAt time up to which the registry is known to be complete
  /// \returns the slots that changed
  std::vector<TargetSlot> tick(MilliTime completeAt, MilliTime now);

  /// \returns whether any position of the store is known.
  bool loaded() const { return this->asOf.has_value(); }
  /// \returns the position up to which all changes have been applied; a
  /// position before the first change if nothing is loaded.
  StorePosition position() const
  {
    return this->asOf.value_or(StorePosition{});
  }
  /// \returns the lowest position that is known to have the same content as
  /// position(). Unlike that, it does not rise while the targets don't change.
  StorePosition contentPosition() const;
  /// \returns the number of entries that were listed while another target had
  /// their number.
  std::uint64_t numberConflicts() const { return this->conflicts; }
  /// \returns the time of the last known failure of the store.
  MilliTime lastStoreFailure() const { return this->lastFailureAt; }
  /// \returns the time at which the first targets were loaded.
  MilliTime loadedAt() const { return this->firstLoadedAt; }

  std::span<const KnownTarget> targets() const { return this->known; }
  const KnownTarget& at(TargetSlot slot) const { return this->known[slot]; }
  /// \returns the target with an id, or kNoTargetSlot.
  TargetSlot find(std::string_view id) const;
  /// \returns the target with a short key, or kNoTargetSlot.
  TargetSlot find(ShortTargetKey key) const;

  /// \returns all changes since a position; a complete list if there is none,
  /// if it is of another era, or if the tombstone of a later removal was
  /// deleted already. The remaining warm-up times are those of \a now.
  /// \param isFull set to whether the list is complete
  std::vector<TargetChange> changesSince(
    const std::optional<StorePosition>& since,
    bool& isFull,
    MilliTime now) const;

  /// \returns a digest of the listed targets and their versions up to a
  /// position.
  std::uint64_t digest(const StorePosition& upTo) const;

private:
  std::vector<KnownTarget> known;
  std::vector<TargetSlot> freeSlots;
  std::map<std::string, TargetSlot, std::less<>> byId;
  std::map<ShortTargetKey, TargetSlot> byShortKey;
  std::map<std::uint64_t, std::size_t> idsByNumber; ///< count for each number
  std::optional<StorePosition> asOf;
  ChangeVersion newestChange;
  ChangeVersion newestForgotten; ///< of the newest deleted tombstone
  std::uint64_t conflicts = 0;
  RegistryRules rules;
  MilliTime lastFailureAt{ -1000000 };
  MilliTime firstLoadedAt{};

  /// \brief Adds a target that was not known before.
  TargetSlot add(const TargetChange& change);
  void releaseNumber(const KnownTarget& target);
  void advance(const StorePosition& newPosition, MilliTime now);
  /// \brief How changes were received.
  struct Source
  {
    StorePosition asOf;
    bool isListing = false; ///< they are entries of a complete list
  };

  /// \returns whether an entry of an unknown target names one that has left: a
  /// list that is older than this registry still has it.
  bool hasLeftSince(const Source& source, const TargetChange& change) const;
  /// \param changed receives the slots that change
  void apply(const TargetChange& change,
             const Source& source,
             MilliTime now,
             std::vector<TargetSlot>& changed);
  std::vector<TargetSlot> applyAll(std::span<const TargetChange> changes,
                                   const Source& source,
                                   MilliTime now);
  void list(KnownTarget& target, const TargetChange& change, MilliTime now);
  /// \brief Ends new flows to a target whose entry names no target any more.
  static void onUnreadable(KnownTarget& target);
  /// \brief Applies a target's entry in an older copy of the store.
  void restore(KnownTarget& target, const TargetChange& change, MilliTime now);
  void remove(KnownTarget& target, MilliTime now);
  void forget(TargetSlot slot);
  bool tickTarget(TargetSlot slot, MilliTime completeAt, MilliTime now);
};

}

#endif
