#include "SecondCounts.h"

namespace buckthornwing {

void
SecondCounts::add(const SecondCounts& other)
{
  this->placedFlows += other.placedFlows;
  this->held += other.held;
  this->membersLost += other.membersLost;
  this->membersJoined += other.membersJoined;
  this->storeLost += other.storeLost;
  this->storeRegained += other.storeRegained;
  this->staleViews += other.staleViews;
  this->maxViewAge = std::max(this->maxViewAge, other.maxViewAge);
  this->targetsSuspected += other.targetsSuspected;
  this->targetsDead += other.targetsDead;
  this->targetsTrusted += other.targetsTrusted;
  this->busyLinks += other.busyLinks;
  this->maxBacklog = std::max(this->maxBacklog, other.maxBacklog);
  this->stalls += other.stalls;
  this->resets.add(other.resets);
  this->probes.add(other.probes);
}

}
