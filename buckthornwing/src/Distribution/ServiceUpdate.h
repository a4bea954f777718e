#ifndef BUCKTHORNWING_SERVICE_UPDATE_H
#define BUCKTHORNWING_SERVICE_UPDATE_H

#include "../Board/Blackboard.h"

namespace buckthornwing {

/// \brief Brings the blackboard's targets, services and endpoints in line with
/// a configuration, flagging the buckets that it moves.
///
/// A service that went, or selects nothing, keeps its endpoints with an empty
/// table, so that its open flows go on; its new flows are refused.
void
updateServices(Blackboard& board,
               const Configuration& configuration,
               MilliTime now);

/// \brief Marks the adopted revision as known to every reachable instance.
void
commitServices(Blackboard& board);

}

#endif
