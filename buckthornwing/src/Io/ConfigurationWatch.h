#ifndef BUCKTHORNWING_CONFIGURATION_WATCH_H
#define BUCKTHORNWING_CONFIGURATION_WATCH_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"
#include "../Core/Random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace buckthornwing {

/// \brief Callbacks through which a ConfigurationWatch reaches its owner.
struct WatchHooks
{
  /// \returns whether this instance has to watch the service now.
  std::function<bool()> shouldWatch;
  /// \returns the configuration revision in use; 0 if there is none.
  std::function<std::uint64_t()> revision;
  /// \brief Called with the body of each response of status 200. The watch
  /// requests the next document at once only if revision() has grown.
  std::function<void(const std::string& text)> onDocument;
  /// \brief Called for each response of status 304.
  std::function<void()> onNotModified;
};

/// \brief Fetches each new configuration document by long polling.
///
/// After a failed request or an unusable document, the next request waits for
/// an exponential backoff with random jitter.
class ConfigurationWatch
{
public:
  /// \param service address of the configuration service
  /// \param seed of the random jitter
  ConfigurationWatch(boost::asio::io_context& context,
                     const Endpoint& service,
                     std::uint64_t seed,
                     WatchHooks hooks);

  void start();
  void stop();

  /// \returns the number of requests since the start.
  std::uint64_t calls() const { return this->callCount; }
  /// \returns the number of requests that were answered neither 200 nor 304.
  std::uint64_t failures() const { return this->failureCount; }

private:
  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  Endpoint service;
  Random random;
  WatchHooks hooks;
  MilliDuration backoff{};
  std::uint64_t callCount = 0;
  std::uint64_t failureCount = 0;
  bool stopped = false;

  /// \brief Schedules the next request unless the watch was stopped.
  void scheduleRequest(MilliDuration delay);
  void sendRequest();
  void onResponse(unsigned status, const std::string& body);
  /// \brief Doubles the backoff within its limits.
  /// \returns a random delay between half and one and a half of the backoff.
  MilliDuration increaseBackoff();
};

}

#endif
