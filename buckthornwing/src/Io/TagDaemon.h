#ifndef BUCKTHORNWING_TAG_DAEMON_H
#define BUCKTHORNWING_TAG_DAEMON_H

#include "Error.h"
#include "TagServer.h"
#include "TagServerSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf.hpp>
#include <csignal>
#include <string>

namespace buckthornwing {

/// \brief Reads a settings file and fills in what a process adds: when it
/// started, its random seed, and the port of the seeds.
boost::leaf::result<TagServerSettings>
readTagServerSettings(const std::string& fileName);

/// \brief A TagServer as a process: SIGTERM and SIGINT are a planned stop,
/// SIGHUP reads the settings again.
template<typename Server>
class TagDaemon
{
public:
  TagDaemon(TagServerSettings settings, std::string settingsFile)
    : context(1)
    , signals(context, SIGTERM, SIGINT, SIGHUP)
    , server(context, std::move(settings))
    , settingsFile(std::move(settingsFile))
  {
  }

  /// \brief Serves until a planned stop has ended.
  boost::leaf::result<void> run()
  {
    BOOST_LEAF_CHECK(this->server.start());
    this->waitForSignal();
    this->context.run();
    return {};
  }

private:
  boost::asio::io_context context;
  boost::asio::signal_set signals;
  Server server;
  std::string settingsFile;

  void waitForSignal()
  {
    this->signals.async_wait(
      [this](const boost::system::error_code& code, int signal) {
        if (code) {
          return;
        }
        if (signal == SIGHUP) {
          this->reload();
        } else {
          this->server.requestStop();
        }
        this->waitForSignal();
      });
  }

  void reload()
  {
    boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(settings, readTagServerSettings(this->settingsFile));
        this->server.reload(settings);
        return {};
      },
      [&](const Error& error) {
        this->server.refuseReload(formatError(error));
      },
      [&] { this->server.refuseReload("unknown reason"); });
  }
};

}

#endif
