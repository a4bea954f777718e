#ifndef BUCKTHORNWING_VIEW_CONTROLLER_H
#define BUCKTHORNWING_VIEW_CONTROLLER_H

#include "TagBoard.h"

#include <span>

namespace buckthornwing {

/// \brief Applies published changes to the board and keeps what is derived
/// from them up to date.
class ViewController
{
public:
  explicit ViewController(TagBoard& board)
    : board(board)
  {
  }

  void onChanges(std::uint64_t asOf,
                 std::span<const TargetChange> changes,
                 MilliTime now);
  void onSnapshot(std::uint64_t asOf,
                  std::span<const TargetChange> listed,
                  MilliTime now);
  /// \returns whether the table came into force
  bool onRoutes(RouteTable table, MilliTime now);
  /// \returns whether the changes came into force
  bool onRouteChanges(const RouteChanges& changes, MilliTime now);
  void tick(MilliTime now);

private:
  TagBoard& board;

  void countUnreadable(std::span<const TargetChange> changes);
  void onNewRoutes(MilliTime now);
  void onChanged(std::span<const TargetSlot> slots, MilliTime now);
  void report(TargetSlot slot);
};

}

#endif
