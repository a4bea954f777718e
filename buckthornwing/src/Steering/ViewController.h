#ifndef BUCKTHORNWING_VIEW_CONTROLLER_H
#define BUCKTHORNWING_VIEW_CONTROLLER_H

#include "../View/PublishedRoutes.h"
#include "TagBlackboard.h"

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Applies published targets and routes to the TagBlackboard, and
/// updates the service pools and the tag index, which are derived from them.
class ViewController
{
public:
  explicit ViewController(TagBlackboard& board)
    : board(board)
  {
  }

  /// \brief Applies changes of targets.
  /// \returns whether they continue from the present position; if not, nothing
  /// was changed
  bool onDelta(const TargetDelta& delta, MilliTime now);
  /// \brief Applies the full list of targets.
  void onListing(const TargetListing& listing, MilliTime now);
  /// \brief Applies the configurations of one response of the store, then
  /// their position.
  void onRoutes(PublishedRoutes published, MilliTime now);
  /// \brief Applies a peer's changes of the routes and, if they were accepted,
  /// their position.
  /// \param asOf nothing if the peer names none
  void onRouteChanges(const RouteChanges& changes,
                      const std::optional<StorePosition>& asOf,
                      MilliTime now);
  /// \brief Applies the full list of evacuations.
  void onEvacuationListing(const EvacuationListing& listing, MilliTime now);
  /// \brief Applies changes of evacuations.
  /// \returns whether they continue from the present position; if not, nothing
  /// was changed
  bool onEvacuationDelta(const EvacuationDelta& delta, MilliTime now);
  /// \brief Takes over the evacuations that a peer knows, if they are of a
  /// later position.
  void onPeerEvacuations(const EvacuationList& list, MilliTime now);
  /// \brief Reports an entry of the operator that is not understood.
  void onIgnoredEntry(std::string_view key);
  /// \brief Handles a target's answer to a probe.
  void onAnswer(TargetSlot slot, MilliTime now);
  /// \brief Removes targets whose entries vanished too long ago, and
  /// evacuations that the store has lost; called once per kTagTickPeriod.
  void tick(MilliTime now);

private:
  TagBlackboard& board;
  std::set<std::string, std::less<>> ignoredKeys; ///< already reported

  /// \brief Logs the first list of a new era of the store.
  void reportEra(const StorePosition& before, MilliTime now);
  void countUnreadable(std::span<const TargetChange> changes);
  void onNewRoutes(MilliTime now);
  void onChanged(std::span<const TargetSlot> slots, MilliTime now);
  void report(TargetSlot slot);
  /// \brief Brings the service pools in line with the evacuations and logs what
  /// changed in them.
  void onEvacuationsChanged();
  void reportZone(TagEventKind kind, const std::string& zone);
};

}

#endif
