#include "TargetProbe.h"

#include "HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace buckthornwing {
namespace internal {

constexpr std::size_t kMaxResponseBytes = 4096;

/// \brief One running probe. Its pending asynchronous operations keep it alive.
class TargetProbe : public std::enable_shared_from_this<TargetProbe>
{
public:
  TargetProbe(boost::asio::io_context& context,
              std::string idHeader,
              std::string targetId,
              ProbeHooks hooks)
    : timer(context)
    , idHeader(std::move(idHeader))
    , targetId(std::move(targetId))
    , hooks(std::move(hooks))
  {
  }

  void start(boost::asio::io_context& context, const ProbeRequest& request)
  {
    this->timer.expires_after(std::chrono::milliseconds(kProbeTimeout.ms));
    this->timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& code) {
        if (!code) {
          self->onTimeout();
        }
      });
    const MilliDuration totalTimeout = kProbeTimeout + kLateResponseTime;
    httpGet(
      context,
      request.address,
      request.path,
      HttpLimits{ totalTimeout, totalTimeout, totalTimeout, kMaxResponseBytes },
      HttpHooks{ [self = this->shared_from_this()] { self->onConnected(); },
                 [self = this->shared_from_this()](const HttpResult& result) {
                   self->onDone(result);
                 } });
  }

private:
  boost::asio::steady_timer timer;
  std::string idHeader;
  std::string targetId;
  ProbeHooks hooks;
  bool connected = false;
  bool resultReported = false; ///< whether hooks.result was called

  void finish(ProbeResult result)
  {
    if (!this->resultReported) {
      this->resultReported = true;
      this->timer.cancel();
      this->hooks.result(result);
    }
  }

  void onTimeout()
  {
    // A target that accepts connections is alive even if it is too busy to
    // respond in time.
    this->finish(this->connected ? ProbeResult::alive : ProbeResult::silent);
  }

  void onConnected()
  {
    this->connected = true;
    if (this->resultReported) {
      this->hooks.lateConnection();
    }
  }

  void onDone(const HttpResult& result)
  {
    const std::optional<ProbeResult> found = this->classify(result);
    if (!this->resultReported) {
      this->finish(found.value_or(result.connected ? ProbeResult::alive
                                                   : ProbeResult::silent));
    } else if (found) {
      this->hooks.lateResult(*found);
    }
  }

  /// \returns the probe result that a response or a refused connection shows;
  /// nothing if there was neither.
  std::optional<ProbeResult> classify(const HttpResult& result) const
  {
    if (result.refused) {
      return ProbeResult::refused;
    }
    if (result.status == 0) {
      return std::nullopt;
    }
    const auto answeredBy = result.fields.find(this->idHeader);
    const bool isOther =
      answeredBy != result.fields.end() && answeredBy->second != this->targetId;
    return isOther ? ProbeResult::otherTarget : ProbeResult::alive;
  }
};

}

void
probeTarget(boost::asio::io_context& context,
            const ProbeRequest& request,
            ProbeHooks hooks)
{
  std::make_shared<internal::TargetProbe>(
    context, request.idHeader, request.targetId, std::move(hooks))
    ->start(context, request);
}

}
