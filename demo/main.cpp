/// \file
/// \brief A tour of the daemon before a tagging fabric: callers go on asking
/// while routes move, a target drains, one falls silent, and instances stop
/// and are killed.

#include <emulator/Emulation.h>
#include <src/Io/RunMain.h>

#include <filesystem>
#include <functional>
#include <iostream>
#include <tclap/CmdLine.h>

namespace buckthornwing::demo {
namespace internal {

constexpr MilliDuration kWarmUp{ 2000 };
constexpr MilliDuration kStep{ 4000 };
constexpr MilliDuration kDownFor{ 500 };

/// \brief One act of the tour.
struct Act
{
  std::string title;
  std::function<void()> run;
};

std::vector<Act>
makeActs(emulator::World& world)
{
  return {
    { "callers ask", [] {} },
    { "route 0 moves to the other service",
      [&] { world.routes.change(0, "billing"); } },
    { "target 0 drains", [&] { world.targets.drain(0); } },
    { "target 3 falls silent", [&] { world.targets.crash(3, true); } },
    { "entry 1 is stopped as planned",
      [&] { world.entries.stop(1, kDownFor); } },
    { "entry 2 is killed", [&] { world.entries.kill(2, kDownFor); } },
    { "the end", [] {} },
  };
}

boost::leaf::result<int>
run(const emulator::EmulationSettings& settings)
{
  emulator::Emulation emulation(settings);
  BOOST_LEAF_CHECK(emulation.start(kWarmUp));
  emulator::Promises& promises = emulation.promises();
  MilliDuration at = kWarmUp;
  for (const Act& act : makeActs(emulation.parts())) {
    emulation.parts().timers.after(at, [&promises, act] {
      std::cout << promises.countOf("request_answered")
                << " requests answered. " << act.title << '\n';
      act.run();
    });
    at = at + kStep;
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
    "Tour of the daemon before a tagging fabric", ' ', "0.1");
  TCLAP::ValueArg<std::string> directory(
    "", "directory", "for settings and logs", true, "", "DIR", command);
  command.parse(argc, argv);
  emulator::EmulationSettings settings;
  settings.program = "build/buckthornwing-platform";
  settings.directory = directory.getValue();
  std::filesystem::create_directories(settings.directory);
  return runMain("demo", [&] { return demo::internal::run(settings); });
}
