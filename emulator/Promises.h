#ifndef BUCKTHORNWING_EMULATOR_PROMISES_H
#define BUCKTHORNWING_EMULATOR_PROMISES_H

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
  static constexpr MilliDuration kSettled{ 4000 };
  static constexpr MilliDuration kRoutesInForceWithin{ 3000 };
  static constexpr MilliDuration kDrainSeenWithin{ 3000 };
  static constexpr MilliDuration kStopWithin{ 6000 };
  static constexpr MilliDuration kRecoverWithin{ 12000 };
  /// An instance never goes back behind a version it has shown for so long.
  static constexpr MilliDuration kRegressionWindow{ 2000 };
  /// Scheduling of the emulator itself.
  static constexpr MilliDuration kOwnDelay{ 200 };
  static constexpr std::uint64_t kMostResidentKilobytes = 64 * 1024;
};

/// \brief Since when something has been without a fault.
class Stability
{
public:
  void begin() { ++this->faults; }
  void end()
  {
    --this->faults;
    this->since = bootTime();
  }
  /// \brief A fault of a moment.
  void touch() { this->since = bootTime(); }
  bool isWell() const { return this->faults == 0; }
  bool isStable(MilliDuration span = Bounds::kSettled) const
  {
    return this->faults == 0 && bootTime() - this->since >= span;
  }

private:
  int faults = 0;
  MilliTime since{};
};

/// \brief Gathers broken promises and counts what happened.
class Promises
{
public:
  explicit Promises(MilliTime start)
    : start(start)
  {
  }

  /// \brief Notes a broken promise.
  void broken(const std::string& promise, const std::string& detail);

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
        this->broken("setup", formatError(error));
        return false;
      },
      [&] {
        this->broken("setup", "unknown reason");
        return false;
      });
  }

  /// \brief Notes something that explains a broken promise later.
  void note(const std::string& what);

  /// \brief Counts a fault and notes what it hit.
  void fault(const std::string& name, const std::string& detail)
  {
    this->count("fault_" + name);
    this->note(name + " " + detail);
  }

  void count(const std::string& name) { ++this->counts[name]; }
  std::uint64_t countOf(const std::string& name) { return this->counts[name]; }
  std::size_t brokenCount() const { return this->failures; }

  /// \brief Writes counts, and the notes if a promise was broken.
  void print(std::ostream& out) const;

private:
  static constexpr std::size_t kMostPrinted = 20;

  MilliTime start;
  std::map<std::string, std::uint64_t> counts;
  std::vector<std::string> notes;
  std::size_t failures = 0;
};

}

#endif
