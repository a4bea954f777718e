#include "SecondCounts.h"

namespace buckthornwing {

void
SecondCounts::add(const SecondCounts& other)
{
  this->openings += other.openings;
  this->held += other.held;
  this->membersLost += other.membersLost;
  this->membersBack += other.membersBack;
  this->storeLost += other.storeLost;
  this->storeBack += other.storeBack;
  this->viewsBehind += other.viewsBehind;
  this->mostViewAge = std::max(this->mostViewAge, other.mostViewAge);
  this->targetsSuspected += other.targetsSuspected;
  this->targetsDead += other.targetsDead;
  this->targetsTrusted += other.targetsTrusted;
  this->busyLinks += other.busyLinks;
  this->mostBacklog = std::max(this->mostBacklog, other.mostBacklog);
  this->stalls += other.stalls;
  this->resets.add(other.resets);
  this->probes.add(other.probes);
}

}
