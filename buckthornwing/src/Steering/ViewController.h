#ifndef BUCKTHORNWING_VIEW_CONTROLLER_H
#define BUCKTHORNWING_VIEW_CONTROLLER_H

#include "TagBlackboard.h"

#include <span>

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

  /// \brief Applies changes of targets up to the store revision `asOf`.
  void onChanges(std::uint64_t asOf,
                 std::span<const TargetChange> changes,
                 MilliTime now);
  /// \brief Applies the full list of targets at the store revision `asOf`.
  void onSnapshot(std::uint64_t asOf,
                  std::span<const TargetChange> listed,
                  MilliTime now);
  /// \brief Applies a route table.
  /// \returns whether the table was accepted
  bool onRoutes(RouteTable table, MilliTime now);
  /// \brief Applies changes of the routes.
  /// \returns whether the changes were accepted
  bool onRouteChanges(const RouteChanges& changes, MilliTime now);
  /// \brief Removes targets whose entries vanished too long ago; called once
  /// per kTagTickPeriod.
  void tick(MilliTime now);

private:
  TagBlackboard& board;

  void countUnreadable(std::span<const TargetChange> changes);
  void onNewRoutes(MilliTime now);
  void onChanged(std::span<const TargetSlot> slots, MilliTime now);
  void report(TargetSlot slot);
};

}

#endif
