#ifndef BUCKTHORNWING_TARGET_REGISTRY_H
#define BUCKTHORNWING_TARGET_REGISTRY_H

#include "TargetRecord.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief Whether a target's registration still stands.
enum class TargetPresence : std::uint8_t
{
  listed,
  lapsed, ///< left the registry while that was unwell; may come back
  gone,   ///< kept to recognize its flows
};

/// \brief Position of a target in a TargetRegistry.
using TargetSlot = std::uint32_t;
inline constexpr TargetSlot kNoTargetSlot = 0xffffffff;

/// \brief A target with what this instance knows of its registration.
struct KnownTarget
{
  TargetRecord record;
  std::uint64_t revision = 0;
  TargetPresence presence = TargetPresence::gone;
  MilliTime changedAt{};    ///< when the presence last changed
  bool used = false;        ///< false: the slot is free
  bool wasDraining = false; ///< announced its end before it left

  /// \returns whether new flows may go there.
  bool takesNewFlows() const
  {
    return this->used && this->presence != TargetPresence::gone &&
           this->record.state == TargetState::serving;
  }
};

/// \brief Every target that flows may belong to, with the registry's revision.
///
/// Nothing goes backwards: a change is taken only if its revision is above the
/// one known for its target.
class TargetRegistry
{
public:
  /// \brief Applies changes that end at a revision of the registry.
  /// \returns the slots that changed
  std::vector<TargetSlot> applyChanges(std::uint64_t asOf,
                                       std::span<const TargetChange> changes,
                                       MilliTime now);

  /// \brief Applies a full list; targets that it lacks have left.
  /// \param asOf revision from which later changes continue
  std::vector<TargetSlot> applySnapshot(std::uint64_t asOf,
                                        std::span<const TargetChange> listed,
                                        MilliTime now);

  /// \brief Notes that the registry failed to answer, so that entries which
  /// vanish now may be back shortly.
  /// \brief Without it what vanishes has left, also while the store is unwell.
  void setKeepsLapsed(bool keeps) { this->keepsLapsed = keeps; }

  void noteUnwell(MilliTime at)
  {
    this->unwellAt = std::max(this->unwellAt, at);
  }

  /// \brief Ends lapses that lasted too long and forgets old tombstones.
  /// \returns the slots that changed
  std::vector<TargetSlot> tick(MilliTime now);

  bool loaded() const { return this->asOfRevision > 0; }
  /// \returns the revision that changes of the registry continue from.
  std::uint64_t revision() const { return this->asOfRevision; }
  /// \returns the revision of the newest change of a target.
  std::uint64_t lastChange() const { return this->changeRevision; }
  MilliTime lastUnwell() const { return this->unwellAt; }
  /// \returns when the registry was first known.
  MilliTime loadedAt() const { return this->firstLoadedAt; }

  std::span<const KnownTarget> targets() const { return this->known; }
  const KnownTarget& at(TargetSlot slot) const { return this->known[slot]; }
  TargetSlot find(std::string_view id) const;
  /// \returns the target that answers to a number.
  TargetSlot findNumber(std::uint64_t number) const;

  /// \returns all changes above a revision, or a full list if some of them
  /// are forgotten already. \a isFull tells which.
  std::vector<TargetChange> changesSince(std::uint64_t revision,
                                         bool& isFull) const;

private:
  std::vector<KnownTarget> known;
  std::vector<TargetSlot> freeSlots;
  std::map<std::string, TargetSlot, std::less<>> byId;
  std::map<std::uint64_t, TargetSlot> byNumber;
  std::uint64_t asOfRevision = 0;
  std::uint64_t changeRevision = 0;
  std::uint64_t forgottenRevision = 0; ///< newest end that was forgotten
  bool keepsLapsed = true;
  MilliTime unwellAt{ -1000000 };
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
