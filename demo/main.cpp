/// \file
/// \brief Demonstration of the daemon with a fabric that returns flow tags:
/// callers send requests while a route changes, a target drains, another stops
/// responding, and instances are stopped and killed.

#include <emulator/Emulation.h>
#include <src/Io/RunMain.h>

#include <filesystem>
#include <functional>
#include <iostream>
#include <tclap/CmdLine.h>

namespace buckthornwing::demo {
namespace internal {

constexpr MilliDuration kWarmUp{ 2000 };
constexpr MilliDuration kStepDuration{ 4000 };
constexpr MilliDuration kDownFor{ 500 };

/// \brief A step of the demonstration: a title and the event that it causes.
struct Step
{
  std::string title;
  std::function<void()> run;
};

std::vector<Step>
makeSteps(emulator::EmulationParts& parts)
{
  return {
    { "callers send requests", [] {} },
    { "route 0 moves to the other service",
      [&] { parts.routes.change(0, "billing"); } },
    { "target 0 drains", [&] { parts.targets.drain(0); } },
    { "target 3 stops responding", [&] { parts.targets.crash(3, true); } },
    { "entry 1 is stopped as planned",
      [&] { parts.instances.stop(1, kDownFor); } },
    { "entry 2 is killed", [&] { parts.instances.kill(2, kDownFor); } },
    { "end of the demonstration", [] {} },
  };
}

boost::leaf::result<int>
run(const emulator::EmulationSettings& settings)
{
  emulator::Emulation emulation(settings);
  BOOST_LEAF_CHECK(emulation.start(kWarmUp));
  emulator::Guarantees& guarantees = emulation.guarantees();
  MilliDuration at = kWarmUp;
  for (const Step& step : makeSteps(emulation.parts())) {
    emulation.parts().timers.after(at, [&guarantees, step] {
      std::cout << guarantees.countOf("request_answered")
                << " requests answered. " << step.title << '\n';
      step.run();
    });
    at = at + kStepDuration;
  }
  emulation.parts().timers.after(at, [&] { emulation.stop(); });
  emulation.run();
  guarantees.print(std::cout);
  std::cout << guarantees.violationCount() << " broken promises\n";
  return guarantees.violationCount() == 0 ? 0 : 1;
}

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  TCLAP::CmdLine command(
    "Demonstration of the daemon with a fabric that returns flow tags",
    ' ',
    "0.1");
  TCLAP::ValueArg<std::string> directory("",
                                         "directory",
                                         "directory for settings and logs",
                                         true,
                                         "",
                                         "DIR",
                                         command);
  command.parse(argc, argv);
  emulator::EmulationSettings settings;
  settings.program = "build/buckthornwing-platform";
  settings.directory = directory.getValue();
  std::filesystem::create_directories(settings.directory);
  return runMain("demo", [&] { return demo::internal::run(settings); });
}
