#ifndef BUCKTHORNWING_EMULATOR_GUARANTEES_H
#define BUCKTHORNWING_EMULATOR_GUARANTEES_H

#include <src/Io/Error.h>
#include <src/Io/WallClock.h>

#include <boost/leaf.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief The bounds of the promises, as the operators state them.
struct Bounds
{
  static constexpr MilliDuration kSettlingTime{ 4000 };
  static constexpr MilliDuration kMaxRouteChangeDelay{ 3000 };
  static constexpr MilliDuration kMaxDrainDelay{ 3000 };
  static constexpr MilliDuration kStopTimeout{ 6000 };
  static constexpr MilliDuration kMaxRecoveryTime{ 12000 };
  /// An instance never goes back behind a version it has shown for so long.
  static constexpr MilliDuration kRegressionWindow{ 2000 };
  /// Scheduling of the emulator itself.
  static constexpr MilliDuration kMaxEmulatorDelay{ 200 };
  static constexpr std::uint64_t kMaxResidentKilobytes = 64 * 1024;
};

/// \brief Since when something has been without a fault.
class Stability
{
public:
  void beginFault() { ++this->activeFaults; }
  void endFault()
  {
    --this->activeFaults;
    this->faultFreeSince = bootTime();
  }
  /// \brief A fault of a moment.
  void recordInstantFault() { this->faultFreeSince = bootTime(); }
  bool isFaultFree() const { return this->activeFaults == 0; }
  bool isStable(MilliDuration minDuration = Bounds::kSettlingTime) const
  {
    return this->activeFaults == 0 &&
           bootTime() - this->faultFreeSince >= minDuration;
  }

private:
  int activeFaults = 0;
  MilliTime faultFreeSince{};
};

/// \brief Gathers broken promises and counts what happened.
class Guarantees
{
public:
  explicit Guarantees(MilliTime start)
    : start(start)
  {
  }

  /// \brief Notes a broken promise.
  void reportViolation(const std::string& guarantee, const std::string& detail);

  /// \brief Runs a step of the emulation that must not fail.
  /// \param body returns boost::leaf::result<void>
  /// \returns whether it succeeded
  template<typename Body>
  bool mustSucceed(Body body)
  {
    return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(body());
        return true;
      },
      [&](const Error& error) {
        this->reportViolation("setup", formatError(error));
        return false;
      },
      [&] {
        this->reportViolation("setup", "unknown reason");
        return false;
      });
  }

  /// \brief Notes something that explains a broken promise later.
  void note(const std::string& text);

  /// \brief Counts a fault and notes what it hit.
  void recordFault(const std::string& name, const std::string& detail)
  {
    this->count("fault_" + name);
    this->note(name + " " + detail);
  }

  void count(const std::string& name) { ++this->counts[name]; }
  std::uint64_t countOf(const std::string& name) { return this->counts[name]; }
  std::size_t violationCount() const { return this->violations; }

  /// \brief Writes counts, and the notes if a promise was broken.
  void print(std::ostream& out) const;

private:
  static constexpr std::size_t kMaxReported = 20;

  MilliTime start;
  std::map<std::string, std::uint64_t> counts;
  std::vector<std::string> notes;
  std::size_t violations = 0;
};

}

#endif
