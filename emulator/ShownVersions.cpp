#include "ShownVersions.h"

namespace buckthornwing::emulator {

bool
ShownVersions::show(const ShownFlow& flow, MilliTime now)
{
  Known& before = this->known[{ flow.instance, flow.route }];
  const bool isSameProcess = before.start == flow.start;
  const bool hasFallenBack = isSameProcess &&
                             flow.versions.newest < before.version &&
                             flow.sentAt - before.at > this->window;
  if (!isSameProcess || flow.versions.oldest > before.version) {
    before = { flow.start, flow.versions.oldest, now };
  }
  return hasFallenBack;
}

}
