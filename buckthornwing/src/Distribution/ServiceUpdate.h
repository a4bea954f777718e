#ifndef BUCKTHORNWING_SERVICE_UPDATE_H
#define BUCKTHORNWING_SERVICE_UPDATE_H

#include "../Board/Blackboard.h"

namespace buckthornwing {

/// \brief Updates the blackboard's targets, services and endpoints to a
/// configuration, and flags the buckets whose targets change.
///
/// A service that is no longer published, or selects no target, keeps its
/// endpoints with an empty table: its open flows continue, and new flows are
/// refused.
void
updateServices(Blackboard& board,
               const Configuration& configuration,
               MilliTime now);

/// \brief Marks the adopted revision as known to every reachable instance: the
/// buckets that it moved change from kPending to kMovedByRevision.
void
commitServices(Blackboard& board);

}

#endif
