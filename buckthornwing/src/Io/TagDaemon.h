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

/// \brief Reads a settings file and adds the values that depend on the process:
/// incarnation, random seed and the port of the seed addresses.
/// \returns the settings, or an Error if the file can't be read or is invalid.
boost::leaf::result<TagServerSettings>
readTagServerSettings(const std::string& fileName);

/// \brief Runs a TagServer as a process. SIGTERM and SIGINT start a planned
/// stop; SIGHUP reloads the settings file.
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

  /// \brief Serves until a planned stop is complete.
  /// \returns an Error if the server can't start.
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
        this->server.rejectReload(formatError(error));
      },
      [&] { this->server.rejectReload("unknown reason"); });
  }
};

}

#endif
