#include "ConfigurationWatch.h"

#include "../Config/ParseConfiguration.h"
#include "HttpClient.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief How long the service may hold a watch open.
constexpr MilliDuration kWatchFor{ 25000 };
constexpr MilliDuration kAnswerWithin{ 30000 };
constexpr MilliDuration kFirstBackOff{ 200 };
/// \brief 570 instances at this pace stay far below the service's 2,000 calls
/// a second even if all of them retry.
constexpr MilliDuration kMostBackOff{ 5000 };
/// \brief An instance that need not watch looks again after this time.
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
  this->ask();
}

void
ConfigurationWatch::stop()
{
  this->stopped = true;
  this->timer.cancel();
}

void
ConfigurationWatch::next(MilliDuration delay)
{
  if (this->stopped) {
    return;
  }
  this->timer.expires_after(std::chrono::milliseconds(delay.ms));
  this->timer.async_wait([this](const boost::system::error_code& code) {
    if (!code && !this->stopped) {
      this->ask();
    }
  });
}

void
ConfigurationWatch::ask()
{
  if (!this->hooks.wanted()) {
    this->next(internal::kIdlePeriod);
    return;
  }
  ++this->callCount;
  const std::uint64_t revision = this->hooks.revision();
  std::string path = "/v1/config";
  if (revision > 0) {
    path += "?after=" + std::to_string(revision) +
            "&wait_ms=" + std::to_string(internal::kWatchFor.ms);
  }
  httpGet(this->context,
          this->service,
          path,
          internal::kAnswerWithin,
          2 * kMostDocumentBytes,
          [this](const HttpResult& result) {
            this->onAnswer(result.status, result.body);
          });
}

MilliDuration
ConfigurationWatch::growBackOff()
{
  this->backOff.ms = std::clamp(2 * this->backOff.ms,
                                internal::kFirstBackOff.ms,
                                internal::kMostBackOff.ms);
  const auto jitter =
    this->random.below(static_cast<std::uint64_t>(this->backOff.ms));
  return MilliDuration{ this->backOff.ms / 2 +
                        static_cast<std::int64_t>(jitter) };
}

void
ConfigurationWatch::onAnswer(unsigned status, const std::string& body)
{
  if (this->stopped) {
    return;
  }
  if (status == internal::kNotModified) {
    this->backOff = MilliDuration{};
    this->hooks.onNothingNew();
    this->next(MilliDuration{});
    return;
  }
  if (status == internal::kOk) {
    const std::uint64_t before = this->hooks.revision();
    this->hooks.onDocument(body);
    if (this->hooks.revision() > before) {
      this->backOff = MilliDuration{};
      this->next(MilliDuration{});
      return;
    }
    // A stale or malformed document: no reason to ask again at once.
    this->next(this->growBackOff());
    return;
  }
  ++this->failureCount;
  this->next(this->growBackOff());
}

}
