#ifndef BUCKTHORNWING_STORE_READERS_H
#define BUCKTHORNWING_STORE_READERS_H

#include "../Core/MilliTime.h"
#include "FleetMembers.h"

#include <cstddef>
#include <optional>

namespace buckthornwing {

/// \brief What decides whether an instance reads the platform's store.
struct StoreReaderSituation
{
  bool hasView = false;
  bool isFetching = false;     ///< parts of a view are arriving from a peer
  MilliDuration sinceStart{};  ///< of this process
  MilliDuration askPeersFor{}; ///< a start waits so long for any peer's view
  /// Since a peer first told of a view; nothing if none has one.
  std::optional<MilliDuration> sinceOffered;
  ReaderRole role = ReaderRole::none;
  std::size_t rankInZone = 0; ///< among the live members of its zone
  MilliDuration targetsAge{}; ///< since the store confirmed them
  MilliDuration routesAge{};
  MilliDuration behindFor{}; ///< how long peers have had newer views
};

/// \returns whether an instance reads the store.
///
/// Load pattern: hundreds of instances before one store that counts calls. One
/// instance reads for all; the others learn views from peers. A stand-by in
/// another zone takes over as soon as the reader's news stop. A process that
/// starts asks peers and reads unless one of them offers a view before; then it
/// reads only if none delivers. A part of the fleet that is cut off from
/// the readers notices by the age of its view: one instance of each zone joins
/// in, and after growing pauses a few more, in case the store turns the first
/// ones away. So a store that fails is never asked by all instances at once.
bool
shouldReadStore(const StoreReaderSituation& situation);

/// \brief What decides how long a process that starts waits for peers.
struct StarterSituation
{
  bool isFirstStart = false; ///< of the whole fleet: no caller waits
  bool isSeed = false;       ///< peers ask this instance first
  double linkMegabits = 0;   ///< a second, of the own link; 0: unknown
};

/// \returns how long a process that starts waits for any peer's view.
///
/// Load pattern: all instances lost power and start within half a second,
/// while callers wait; if all read, the store's link is what they wait for.
/// Those with fast links read at once, also when one starts alone, because it
/// can't know whether a peer has a view. They pass the view on. The others
/// spread their reads, the slower their link the less: over a slow link a peer
/// is not faster than the store. At a first start nearly all have time to learn
/// the view from peers.
MilliDuration
askPeersFor(const StarterSituation& situation, Random& random);

}

#endif
