#ifndef BUCKTHORNWING_EMULATOR_PROMISES_H
#define BUCKTHORNWING_EMULATOR_PROMISES_H

#include <src/Io/WallClock.h>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief The bounds of the promises, as the operators state them.
struct Bounds
{
  static constexpr MilliDuration kStable{ 4000 };
  static constexpr MilliDuration kApply{ 3000 };
  static constexpr MilliDuration kDrain{ 3000 };
  static constexpr MilliDuration kGrace{ 6000 };
  static constexpr MilliDuration kRecover{ 12000 };
  /// An instance never goes back behind a version it has shown for so long.
  static constexpr MilliDuration kBack{ 2000 };
  /// Scheduling of the emulator itself.
  static constexpr MilliDuration kSlack{ 200 };
  static constexpr std::uint64_t kMostResidentKilobytes = 64 * 1024;
};

/// \brief Since when something has been without a fault.
class Calm
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
  bool isStable(MilliDuration span = Bounds::kStable) const
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
