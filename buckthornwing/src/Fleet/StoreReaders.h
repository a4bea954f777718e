#ifndef BUCKTHORNWING_STORE_READERS_H
#define BUCKTHORNWING_STORE_READERS_H

#include "../Core/MilliTime.h"
#include "FleetMembers.h"

#include <cstddef>
#include <optional>

namespace buckthornwing {

/// \brief Input of the decision whether an instance reads the platform's store.
struct StoreReaderSituation
{
  bool hasView = false;
  bool isFetching = false;          ///< a view is being transferred from a peer
  MilliDuration sinceStart{};       ///< time since the start of this process
  MilliDuration initialReadDelay{}; ///< time to wait for a peer's view
  /// Time since a peer with a view was first known; nothing if none is.
  std::optional<MilliDuration> sinceOffered;
  ReaderRole role = ReaderRole::none;
  std::size_t rankInZone = 0; ///< place among the active members of its zone
  MilliDuration targetsAge{}; ///< time since the store confirmed the targets
  MilliDuration routesAge{};  ///< time since the store confirmed the routes and
                              ///< the evacuations
  MilliDuration behindFor{};  ///< time for which peers have had newer views
};

/// \returns whether an instance reads the store.
///
/// Hundreds of instances share one store, whose calls are counted. Therefore
/// one instance, the reader, reads for all, and the others receive views from
/// peers.
///
/// - A stand-by in another zone takes over when the reader's confirmations
///   stop.
/// - A starting process waits initialReadDelay() for a peer's view. It reads
///   the store if no peer with a view is known by then, or if that peer does
///   not deliver the view.
/// - A part of the fleet that is disconnected from the readers notices it by
///   the age of its view. One instance of each zone starts to read, and a few
///   more follow after increasing delays, in case the store refuses the first
///   ones. So a failing store is never called by all instances at once.
bool
shouldReadStore(const StoreReaderSituation& situation);

/// \brief Input of the choice of how long a starting process waits for peers.
struct StartSituation
{
  bool isFirstStart = false; ///< of the whole fleet: no caller is waiting
  bool isSeed = false;       ///< peers contact this instance first
  double linkMegabits = 0;   ///< rate of its link in Mbit/s; 0: unknown
};

/// \returns how long a starting process waits for a peer's view before it reads
/// the store; chosen at random within a range that depends on the situation.
///
/// After a power failure all instances start within half a second while callers
/// are waiting. If all of them read the store at once, its link is the
/// bottleneck.
///
/// - Seeds and instances whose link is fast or of unknown rate read at once and
///   pass the view on. They do so also when only one of them starts, because it
///   can't know whether a peer has a view.
/// - The others spread their reads over a time proportional to their link's
///   rate, at most kMaxSpreadMs: over a slow link, a peer is no faster than the
///   store.
/// - At the first start of the fleet no caller is waiting, so nearly all
///   instances have time to receive the view from peers.
MilliDuration
initialReadDelay(const StartSituation& situation, Random& random);

}

#endif
