#include "ConfigurationWatch.h"

#include "../Config/ParseConfiguration.h"
#include "HttpClient.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Time for which the service may delay its response while there is no
/// newer document.
constexpr MilliDuration kLongPollTimeout{ 25000 };
/// \brief Timeout of a request; longer than kLongPollTimeout.
constexpr MilliDuration kRequestTimeout{ 30000 };
constexpr MilliDuration kInitialBackoff{ 200 };
/// \brief Upper limit of the backoff. If all of 570 instances retry at this
/// interval, their rate stays far below the service's limit of 2,000 requests
/// per second.
constexpr MilliDuration kMaxBackoff{ 5000 };
/// \brief Interval between checks of shouldWatch() while it returns false.
constexpr MilliDuration kIdlePeriod{ 1000 };
constexpr unsigned kNotModified = 304;
constexpr unsigned kOk = 200;

}

ConfigurationWatch::ConfigurationWatch(boost::asio::io_context& context,
                                       const Endpoint& service,
                                       std::uint64_t seed,
                                       WatchHooks hooks)
  : context(context)
  , timer(context)
  , service(service)
  , random{ seed }
  , hooks(std::move(hooks))
{
}

void
ConfigurationWatch::start()
{
  this->sendRequest();
}

void
ConfigurationWatch::stop()
{
  this->stopped = true;
  this->timer.cancel();
}

void
ConfigurationWatch::scheduleRequest(MilliDuration delay)
{
  if (this->stopped) {
    return;
  }
  this->timer.expires_after(std::chrono::milliseconds(delay.ms));
  this->timer.async_wait([this](const boost::system::error_code& code) {
    if (!code && !this->stopped) {
      this->sendRequest();
    }
  });
}

void
ConfigurationWatch::sendRequest()
{
  if (!this->hooks.shouldWatch()) {
    this->scheduleRequest(internal::kIdlePeriod);
    return;
  }
  ++this->callCount;
  const std::uint64_t revision = this->hooks.revision();
  std::string path = "/v1/config";
  if (revision > 0) {
    path += "?after=" + std::to_string(revision) +
            "&wait_ms=" + std::to_string(internal::kLongPollTimeout.ms);
  }
  httpGet(this->context,
          this->service,
          path,
          internal::kRequestTimeout,
          2 * kMaxDocumentBytes,
          [this](const HttpResult& result) {
            this->onResponse(result.status, result.body);
          });
}

MilliDuration
ConfigurationWatch::increaseBackoff()
{
  this->backoff.ms = std::clamp(2 * this->backoff.ms,
                                internal::kInitialBackoff.ms,
                                internal::kMaxBackoff.ms);
  const auto jitter =
    this->random.below(static_cast<std::uint64_t>(this->backoff.ms));
  return MilliDuration{ this->backoff.ms / 2 +
                        static_cast<std::int64_t>(jitter) };
}

void
ConfigurationWatch::onResponse(unsigned status, const std::string& body)
{
  if (this->stopped) {
    return;
  }
  if (status == internal::kNotModified) {
    this->backoff = MilliDuration{};
    this->hooks.onNotModified();
    this->scheduleRequest(MilliDuration{});
    return;
  }
  if (status == internal::kOk) {
    const std::uint64_t before = this->hooks.revision();
    this->hooks.onDocument(body);
    if (this->hooks.revision() > before) {
      this->backoff = MilliDuration{};
      this->scheduleRequest(MilliDuration{});
      return;
    }
    // The document was stale or malformed; an immediate retry would most likely
    // return the same one.
    this->scheduleRequest(this->increaseBackoff());
    return;
  }
  ++this->failureCount;
  this->scheduleRequest(this->increaseBackoff());
}

}
