#ifndef BUCKTHORNWING_TARGET_PROBE_H
#define BUCKTHORNWING_TARGET_PROBE_H

#include "../Core/IpAddress.h"
#include "../Observation/TargetHealth.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace buckthornwing {

/// \brief Request of a health probe, and the identity that the response must
/// show.
struct ProbeRequest
{
  Endpoint address;
  std::string path;
  std::string idHeader; ///< response header that holds the responder's id
  std::string targetId; ///< expected id
};

/// \brief Callbacks of a health probe.
struct ProbeHooks
{
  /// Called exactly once, within kProbeTimeout.
  std::function<void(ProbeResult)> result;
  /// Called at most once, within kLateResponseTime after the result `silent`,
  /// if the TCP connection is established late. It isn't known which target has
  /// accepted it.
  std::function<void()> lateConnection;
  /// Called at most once, within kLateResponseTime after the result `silent` or
  /// an `alive` without a response, if a late response arrives or the
  /// connection is refused late. Receives what that shows.
  std::function<void(ProbeResult)> lateResult;
};

/// \brief Starts an HTTP health probe of a target.
void
probeTarget(boost::asio::io_context& context,
            const ProbeRequest& request,
            ProbeHooks hooks);

}

#endif
