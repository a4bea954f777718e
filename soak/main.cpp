/// \file
/// \brief A fault soak: runs the daemon as separate processes on loopback,
/// injects a seeded series of faults from outside and checks the promises from
/// what callers and targets see.

#include "Faults.h"

#include <emulator/Emulation.h>
#include <src/Io/RunMain.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <tclap/CmdLine.h>

namespace buckthornwing::soak {
namespace internal {

constexpr MilliDuration kWarmUp{ 2500 };
/// \brief Requests are watched for so long after the recovery.
constexpr MilliDuration kDemand{ 4000 };
constexpr MilliDuration kLastAnswers{ 5200 };
/// \brief The longest a fault lasts after it was injected, with its echoes.
constexpr MilliDuration kLongestFault{ 8000 };

/// \brief What the command line says.
struct Flags
{
  emulator::EmulationSettings emulation;
  MilliDuration faultsFor;
};

Flags
parseFlags(int argc, char** argv)
{
  TCLAP::CmdLine command("Fault soak of the daemon", ' ', "0.1");
  using Number = TCLAP::ValueArg<std::size_t>;
  Number seed("", "seed", "of faults and load", false, 1, "N", command);
  Number seconds(
    "", "fault-seconds", "how long faults come", false, 20, "S", command);
  Number instances("", "instances", "daemons", false, 4, "N", command);
  Number targets("", "targets", "backend servers", false, 8, "N", command);
  Number callers("", "callers", "callers", false, 60, "N", command);
  TCLAP::ValueArg<std::string> program("",
                                       "program",
                                       "the daemon",
                                       false,
                                       "build/buckthornwing-platform",
                                       "FILE",
                                       command);
  TCLAP::ValueArg<std::string> directory(
    "", "directory", "for settings and logs", true, "", "DIR", command);
  command.parse(argc, argv);
  return { { seed.getValue(),
             instances.getValue(),
             targets.getValue(),
             callers.getValue(),
             program.getValue(),
             directory.getValue() },
           MilliDuration{ static_cast<std::int64_t>(seconds.getValue()) *
                          1000 } };
}

void
onRecovered(emulator::Emulation& emulation)
{
  emulator::World& world = emulation.parts();
  world.promises.note("everything has recovered");
  for (std::size_t i = 0; i < world.entries.size(); ++i) {
    if (!world.fabric.isReady(i)) {
      world.promises.broken("ready_again", std::to_string(i));
    }
  }
  emulation.load().demandAnswers();
}

void
finish(emulator::Emulation& emulation)
{
  emulation.parts().entries.checkMemory();
  if (emulation.promises().countOf("request_answered") == 0) {
    emulation.promises().broken("serves", "no request was answered");
  }
  emulation.stop();
}

boost::leaf::result<int>
run(const Flags& flags)
{
  using emulator::Bounds;
  emulator::Emulation emulation(flags.emulation);
  BOOST_LEAF_CHECK(emulation.start(kWarmUp));
  Faults faults(emulation.parts(), flags.emulation.seed + 2);
  const emulator::Timers& timers = emulation.parts().timers;
  const MilliDuration recovered =
    kWarmUp + flags.faultsFor + kLongestFault + Bounds::kRecoverWithin;
  timers.after(kWarmUp, [&] { faults.start(flags.faultsFor); });
  timers.after(recovered, [&] { onRecovered(emulation); });
  timers.after(recovered + kDemand, [&] { emulation.load().finish(); });
  timers.after(recovered + kDemand + kLastAnswers, [&] { finish(emulation); });
  emulation.run();
  emulation.promises().print(std::cout);
  const std::size_t broken = emulation.promises().brokenCount();
  std::cout << "soak seed=" << flags.emulation.seed << ": " << broken
            << " broken promises\n";
  return broken == 0 ? 0 : 1;
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
