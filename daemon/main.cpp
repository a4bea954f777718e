/// \file
/// \brief Entry daemon: command line and signal handling for an EntryServer.

#include <src/Io/DaemonSettings.h>
#include <src/Io/EntryServer.h>
#include <src/Io/RunMain.h>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf.hpp>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace buckthornwing {
namespace internal {

/// \brief Values of the command line. Non-empty ones override the settings
/// file.
struct Flags
{
  std::string settingsFile;
  std::string id;
  std::string zone;
  std::string logFile;
  bool checkOnly = false;
};

Flags
parseFlags(int argc, char** argv)
{
  TCLAP::CmdLine command(
    "The buckthornwing entry daemon. SIGTERM or SIGINT starts a planned stop: "
    "flows are handed over before the process ends.",
    ' ',
    "0.1");
  TCLAP::UnlabeledValueArg<std::string> file(
    "settings", "JSON settings file", true, "", "FILE", command);
  TCLAP::ValueArg<std::string> id(
    "", "id", "overrides the setting", false, "", "ID", command);
  TCLAP::ValueArg<std::string> zone(
    "", "zone", "overrides the setting", false, "", "ZONE", command);
  TCLAP::ValueArg<std::string> logFile(
    "", "log-file", "overrides the setting", false, "", "FILE", command);
  TCLAP::SwitchArg check(
    "", "check", "check the settings and exit", command, false);
  command.parse(argc, argv);
  return Flags{ file.getValue(),
                id.getValue(),
                zone.getValue(),
                logFile.getValue(),
                check.getValue() };
}

void
applyFlags(const Flags& flags, DaemonSettings& settings)
{
  if (!flags.id.empty()) {
    settings.engine.id = flags.id;
  }
  if (!flags.zone.empty()) {
    settings.engine.zone = flags.zone;
  }
  if (!flags.logFile.empty()) {
    settings.logFile = flags.logFile;
  }
}

boost::leaf::result<int>
run(const Flags& flags)
{
  BOOST_LEAF_AUTO(text, readFile(flags.settingsFile));
  BOOST_LEAF_AUTO(settings, parseDaemonSettings(text, flags.settingsFile));
  applyFlags(flags, settings);
  if (flags.checkOnly) {
    std::cout << "settings are good\n";
    return 0;
  }
  boost::asio::io_context context;
  EntryServer server(context, settings);
  BOOST_LEAF_CHECK(server.start());
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& code, int) {
    if (!code) {
      server.requestStop();
    }
  });
  context.run();
  return 0;
}

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  const internal::Flags flags = internal::parseFlags(argc, argv);
  return runMain("buckthornwing", [&] { return internal::run(flags); });
}
