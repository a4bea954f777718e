#include "TargetProbe.h"

#include "HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace buckthornwing {
namespace internal {

constexpr std::size_t kMostProbeBytes = 4096;

/// \brief One probe; keeps itself alive until it is done.
class TargetProbe : public std::enable_shared_from_this<TargetProbe>
{
public:
  TargetProbe(boost::asio::io_context& context,
              std::string idField,
              std::string targetId,
              ProbeHooks hooks)
    : timer(context)
    , idField(std::move(idField))
    , targetId(std::move(targetId))
    , hooks(std::move(hooks))
  {
  }

  void start(boost::asio::io_context& context, const ProbeQuestion& question)
  {
    this->timer.expires_after(std::chrono::milliseconds(kProbeTimeout.ms));
    this->timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& code) {
        if (!code) {
          self->onTimeout();
        }
      });
    const MilliDuration most = kProbeTimeout + kLateAnswerTime;
    httpGet(
      context,
      question.address,
      question.path,
      HttpLimits{ most, most, most, kMostProbeBytes },
      HttpHooks{ [self = this->shared_from_this()] { self->onConnected(); },
                 [self = this->shared_from_this()](const HttpResult& result) {
                   self->onDone(result);
                 } });
  }

private:
  boost::asio::steady_timer timer;
  std::string idField;
  std::string targetId;
  ProbeHooks hooks;
  bool connected = false;
  bool reported = false; ///< the result; what comes later is late

  void finish(ProbeResult result)
  {
    if (!this->reported) {
      this->reported = true;
      this->timer.cancel();
      this->hooks.result(result);
    }
  }

  void onTimeout()
  {
    // A target too busy to answer in time has taken the connection.
    this->finish(this->connected ? ProbeResult::alive : ProbeResult::silent);
  }

  void onConnected()
  {
    this->connected = true;
    if (this->reported) {
      this->hooks.lateConnection();
    }
  }

  void onDone(const HttpResult& result)
  {
    const std::optional<ProbeResult> found = this->judge(result);
    if (!this->reported) {
      this->finish(found.value_or(result.connected ? ProbeResult::alive
                                                   : ProbeResult::silent));
    } else if (found) {
      this->hooks.lateResult(*found);
    }
  }

  /// \returns what an answer says of the target; nothing if none came.
  std::optional<ProbeResult> judge(const HttpResult& result) const
  {
    if (result.refused) {
      return ProbeResult::refused;
    }
    if (result.status == 0) {
      return std::nullopt;
    }
    const auto answeredBy = result.fields.find(this->idField);
    const bool isOther =
      answeredBy != result.fields.end() && answeredBy->second != this->targetId;
    return isOther ? ProbeResult::otherTarget : ProbeResult::alive;
  }
};

}

void
probeTarget(boost::asio::io_context& context,
            const ProbeQuestion& question,
            ProbeHooks hooks)
{
  std::make_shared<internal::TargetProbe>(
    context, question.idField, question.targetId, std::move(hooks))
    ->start(context, question);
}

}
