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
makeSteps(emulator::World& world)
{
  return {
    { "callers send requests", [] {} },
    { "route 0 moves to the other service",
      [&] { world.routes.change(0, "billing"); } },
    { "target 0 drains", [&] { world.targets.drain(0); } },
    { "target 3 stops responding", [&] { world.targets.crash(3, true); } },
    { "entry 1 is stopped as planned",
      [&] { world.entries.stop(1, kDownFor); } },
    { "entry 2 is killed", [&] { world.entries.kill(2, kDownFor); } },
    { "end of the demonstration", [] {} },
  };
}

boost::leaf::result<int>
run(const emulator::EmulationSettings& settings)
{
  emulator::Emulation emulation(settings);
  BOOST_LEAF_CHECK(emulation.start(kWarmUp));
  emulator::Promises& promises = emulation.promises();
  MilliDuration at = kWarmUp;
  for (const Step& step : makeSteps(emulation.parts())) {
    emulation.parts().timers.after(at, [&promises, step] {
      std::cout << promises.countOf("request_answered")
                << " requests answered. " << step.title << '\n';
      step.run();
    });
    at = at + kStepDuration;
  }
  emulation.parts().timers.after(at, [&] { emulation.stop(); });
  emulation.run();
  promises.print(std::cout);
  std::cout << promises.brokenCount() << " broken promises\n";
  return promises.brokenCount() == 0 ? 0 : 1;
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
