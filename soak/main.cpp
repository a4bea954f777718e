/// \file
/// \brief Fault injection test: runs the daemon in several processes on the
/// loopback interface, injects a seeded series of faults, or plays the events
/// of a day, and checks the daemon's guarantees by what callers and targets
/// observe.

#include "Day.h"
#include "Faults.h"

#include <emulator/Emulation.h>
#include <src/Io/RunMain.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace buckthornwing::soak {
namespace internal {

/// \brief Time without faults after the start.
constexpr MilliDuration kWarmUp{ 2500 };
/// \brief After the recovery, time in which callers send further requests. Each
/// of them must be answered.
constexpr MilliDuration kRequestPhase{ 4000 };
/// \brief Time for the answers to the last requests.
constexpr MilliDuration kAnswerPhase{ 5200 };
/// \brief Maximum time from the injection of a fault to its end, including its
/// after-effects.
constexpr MilliDuration kMaxFaultDuration{ 8000 };

/// \brief Arguments of the command line.
struct Flags
{
  emulator::EmulationSettings emulation;
  MilliDuration injectionTime;
  std::string deploymentFile; ///< empty: a deployment with two zones
  std::string dayFile;        ///< empty: a random series of faults
};

Flags
parseFlags(int argc, char** argv)
{
  TCLAP::CmdLine command("Fault injection test of the daemon", ' ', "0.1");
  using Number = TCLAP::ValueArg<std::size_t>;
  Number seed(
    "", "seed", "seed of the faults and the load", false, 1, "N", command);
  Number seconds(
    "", "fault-seconds", "seconds of fault injection", false, 20, "S", command);
  Number instances(
    "", "instances", "number of daemons", false, 4, "N", command);
  Number targets(
    "", "targets", "number of backend servers", false, 8, "N", command);
  Number callers("", "callers", "number of callers", false, 60, "N", command);
  TCLAP::ValueArg<std::string> program("",
                                       "program",
                                       "executable of the daemon",
                                       false,
                                       "build/buckthornwing-platform",
                                       "FILE",
                                       command);
  TCLAP::ValueArg<std::string> directory("",
                                         "directory",
                                         "directory for settings and logs",
                                         true,
                                         "",
                                         "DIR",
                                         command);
  using File = TCLAP::ValueArg<std::string>;
  File deployment("",
                  "deployment",
                  "file of a deployment, instead of the numbers of parts",
                  false,
                  "",
                  "FILE",
                  command);
  File day("",
           "day",
           "file of a day, instead of a random series of faults",
           false,
           "",
           "FILE",
           command);
  command.parse(argc, argv);
  return { { seed.getValue(),
             emulator::makeDeployment(
               instances.getValue(), targets.getValue(), callers.getValue()),
             program.getValue(),
             directory.getValue() },
           MilliDuration{ static_cast<std::int64_t>(seconds.getValue()) *
                          1000 },
           deployment.getValue(),
           day.getValue() };
}

boost::leaf::result<std::string>
readFile(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return boost::leaf::new_error(Error{ "read file", path, "can't be read" });
  }
  return text.str();
}

/// \returns the settings of the emulation, with the deployment of a file if one
/// is given.
boost::leaf::result<emulator::EmulationSettings>
emulationSettings(const Flags& flags)
{
  emulator::EmulationSettings settings = flags.emulation;
  if (!flags.deploymentFile.empty()) {
    BOOST_LEAF_AUTO(text, readFile(flags.deploymentFile));
    BOOST_LEAF_ASSIGN(settings.deployment,
                      emulator::parseDeployment(text, flags.deploymentFile));
  }
  return settings;
}

boost::leaf::result<std::vector<DayEvent>>
readDay(const Flags& flags)
{
  if (flags.dayFile.empty()) {
    return std::vector<DayEvent>{};
  }
  BOOST_LEAF_AUTO(text, readFile(flags.dayFile));
  return parseDay(text, flags.dayFile);
}

void
onRecovered(emulator::Emulation& emulation)
{
  emulator::EmulationParts& parts = emulation.parts();
  parts.guarantees.note("the time for recovery has passed");
  for (std::size_t i = 0; i < parts.instances.size(); ++i) {
    if (!parts.fabric.isReady(i)) {
      parts.guarantees.reportViolation("ready_again", std::to_string(i));
    }
  }
  emulation.load().requireAnswers();
}

void
finish(emulator::Emulation& emulation)
{
  emulation.parts().instances.checkMemory();
  if (emulation.guarantees().countOf("request_answered") == 0) {
    emulation.guarantees().reportViolation("serves", "no request was answered");
  }
  emulation.stop();
}

boost::leaf::result<int>
run(const Flags& flags)
{
  using emulator::Bounds;
  BOOST_LEAF_AUTO(settings, emulationSettings(flags));
  BOOST_LEAF_AUTO(day, readDay(flags));
  emulator::Emulation emulation(settings);
  BOOST_LEAF_CHECK(emulation.start(kWarmUp));
  Faults faults(emulation.parts(), flags.emulation.seed + 2);
  const emulator::Timers& timers = emulation.parts().timers;
  const MilliDuration injectionTime =
    day.empty() ? flags.injectionTime
                : lengthOf(day, emulation.parts().deployment);
  const MilliDuration recoveryTime =
    kWarmUp + injectionTime + kMaxFaultDuration + Bounds::kMaxRecoveryTime;
  timers.after(kWarmUp, [&] {
    if (day.empty()) {
      faults.start(injectionTime);
    } else {
      playDay(day, emulation.parts(), faults);
    }
  });
  timers.after(recoveryTime, [&] { onRecovered(emulation); });
  timers.after(recoveryTime + kRequestPhase,
               [&] { emulation.load().stopRequests(); });
  timers.after(recoveryTime + kRequestPhase + kAnswerPhase,
               [&] { finish(emulation); });
  emulation.run();
  emulation.guarantees().print(std::cout);
  const std::size_t violations = emulation.guarantees().violationCount();
  std::cout << "soak seed=" << flags.emulation.seed << ": " << violations
            << " broken promises\n";
  return violations == 0 ? 0 : 1;
}

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  std::signal(SIGPIPE, SIG_IGN);
  const auto flags = soak::internal::parseFlags(argc, argv);
  std::filesystem::create_directories(flags.emulation.directory);
  return runMain("soak", [&] { return soak::internal::run(flags); });
}
