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

/// \brief What the watch needs from its host.
struct WatchHooks
{
  /// \returns whether this instance watches at present.
  std::function<bool()> wanted;
  /// \returns the revision in force, 0 for none.
  std::function<std::uint64_t()> revision;
  std::function<void(const std::string& text)> onDocument;
  std::function<void()> onNothingNew;
};

/// \brief Watches the configuration service, with back-off and jitter.
class ConfigurationWatch
{
public:
  ConfigurationWatch(boost::asio::io_context& context,
                     const Endpoint& service,
                     std::uint64_t seed,
                     WatchHooks hooks);

  void start();
  void stop();

  std::uint64_t calls() const { return this->callCount; }
  std::uint64_t failures() const { return this->failureCount; }

private:
  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  Endpoint service;
  Random random;
  WatchHooks hooks;
  MilliDuration backOff{};
  std::uint64_t callCount = 0;
  std::uint64_t failureCount = 0;
  bool stopped = false;

  void next(MilliDuration delay);
  void ask();
  void onAnswer(unsigned status, const std::string& body);
  MilliDuration growBackOff();
};

}

#endif
