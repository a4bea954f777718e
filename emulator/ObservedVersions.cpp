#include "ObservedVersions.h"

namespace buckthornwing::emulator {

bool
ObservedVersions::observe(const ObservedFlow& flow, MilliTime now)
{
  Observation& latest = this->observations[{ flow.instance, flow.route }];
  const bool isSameProcess = latest.processNumber == flow.processNumber;
  const bool hasRegressed = isSameProcess &&
                            flow.versions.newest < latest.version &&
                            flow.sentAt - latest.observedAt > this->window;
  if (!isSameProcess || flow.versions.oldest > latest.version) {
    latest = { flow.processNumber, flow.versions.oldest, now };
  }
  return hasRegressed;
}

}
