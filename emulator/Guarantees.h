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

/// \brief Limits of the daemon's guarantees, as its operators require them.
struct Bounds
{
  /// Time after the last fault until time bounds apply.
  static constexpr MilliDuration kSettlingTime{ 4000 };
  /// Maximum duration of a planned stop.
  static constexpr MilliDuration kStopTimeout{ 6000 };
  /// Maximum time until a zone's evacuation or its end is in force.
  static constexpr MilliDuration kMaxEvacuationDelay{ 5000 };
  /// Time after the end of all faults until all instances must be ready.
  static constexpr MilliDuration kMaxRecoveryTime{ 12000 };
  /// Time after which an instance that has used a version of the routes must
  /// not use an older one.
  static constexpr MilliDuration kRegressionWindow{ 2000 };
  /// Scheduling delay of the emulator itself, which is added to the limits.
  static constexpr MilliDuration kMaxEmulatorDelay{ 200 };
  static constexpr std::uint64_t kMaxResidentKilobytes = 64 * 1024;
};

/// \brief Tracks the active faults of a part and the time since the last fault.
class Stability
{
public:
  void beginFault() { ++this->activeFaults; }
  void endFault()
  {
    --this->activeFaults;
    this->faultFreeSince = bootTime();
  }
  /// \brief Records a fault that has no duration.
  void recordInstantFault() { this->faultFreeSince = bootTime(); }
  bool isFaultFree() const { return this->activeFaults == 0; }
  /// \returns whether there has been no fault for at least \a minDuration.
  bool isStable(MilliDuration minDuration = Bounds::kSettlingTime) const
  {
    return this->activeFaults == 0 &&
           bootTime() - this->faultFreeSince >= minDuration;
  }

private:
  int activeFaults = 0;
  MilliTime faultFreeSince{};
};

/// \brief Records violations of the daemon's guarantees, and counts events.
class Guarantees
{
public:
  explicit Guarantees(MilliTime start)
    : start(start)
  {
  }

  /// \brief Counts a violation and adds a note, unless there are too many.
  /// \param guarantee name of the guarantee
  void reportViolation(const std::string& guarantee, const std::string& detail);

  /// \brief Runs a step of the emulation that must not fail. A failure is
  /// reported as a violation.
  /// \param body returns boost::leaf::result<void>
  /// \returns whether the step succeeded
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

  /// \brief Adds a note, with the time since the start in ms. The notes are
  /// printed only if there is a violation.
  void note(const std::string& text);

  /// \brief Counts an injected fault and adds a note.
  void recordFault(const std::string& name, const std::string& detail)
  {
    this->count("fault_" + name);
    this->note(name + " " + detail);
  }

  void count(const std::string& name) { ++this->counts[name]; }
  std::uint64_t countOf(const std::string& name) { return this->counts[name]; }
  std::size_t violationCount() const { return this->violations; }

  /// \brief Writes the counters, preceded by the notes if there is a violation.
  void print(std::ostream& out) const;

private:
  /// Violations after this many are counted, but get no note.
  static constexpr std::size_t kMaxReported = 20;

  MilliTime start;
  std::map<std::string, std::uint64_t> counts;
  std::vector<std::string> notes;
  std::size_t violations = 0;
};

}

#endif
