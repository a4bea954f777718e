#include "TagDaemon.h"

#include "../Core/Hash.h"
#include "DaemonSettings.h"
#include "WallClock.h"

namespace buckthornwing {

boost::leaf::result<TagServerSettings>
readTagServerSettings(const std::string& fileName)
{
  BOOST_LEAF_AUTO(text, readFile(fileName));
  BOOST_LEAF_AUTO(settings, parseTagServerSettings(text, fileName));
  const auto started = static_cast<std::uint64_t>(wallClockMilliseconds());
  settings.tag.incarnation = started;
  settings.tag.seed = mixWords(started, hashText(settings.tag.id));
  // The platform lists the seeds with a port that isn't their peer port. All
  // instances use the same peer port, so this instance's own is used instead.
  for (Endpoint& seed : settings.tag.seeds) {
    seed.port = settings.tag.peerAddress.port;
  }
  return settings;
}

}
