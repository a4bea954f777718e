#ifndef BUCKTHORNWING_TARGET_PROBE_H
#define BUCKTHORNWING_TARGET_PROBE_H

#include "../Core/IpAddress.h"
#include "../Observation/TargetHealth.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace buckthornwing {

/// \brief What to ask of a target, and how to tell that it is the one meant.
struct ProbeQuestion
{
  Endpoint address;
  std::string path;
  std::string idField;  ///< of the answer's head, names who answers
  std::string targetId; ///< the one meant
};

/// \brief What the caller of a probe is told of.
struct ProbeHooks
{
  std::function<void(ProbeResult)> result; ///< once, within kProbeTimeout
  /// Maybe once, within kLateAnswerTime after `silent`: some target took the
  /// connection late.
  std::function<void()> lateConnection;
  /// Maybe once, within kLateAnswerTime after `silent` or an `alive` that was
  /// told without an answer: what the answer says.
  std::function<void(ProbeResult)> lateResult;
};

/// \brief Asks a target over HTTP whether it lives.
void
probeTarget(boost::asio::io_context& context,
            const ProbeQuestion& question,
            ProbeHooks hooks);

}

#endif
