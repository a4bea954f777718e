#include "Promises.h"

namespace buckthornwing::emulator {

void
Promises::broken(const std::string& promise, const std::string& detail)
{
  this->count("broken_" + promise);
  if (++this->failures <= kMostPrinted) {
    this->note("BROKEN " + promise + ": " + detail);
  }
}

void
Promises::note(const std::string& what)
{
  const MilliDuration at = bootTime() - this->start;
  this->notes.push_back(std::to_string(at.ms) + " ms " + what);
}

void
Promises::print(std::ostream& out) const
{
  if (this->failures > 0) {
    for (const std::string& note : this->notes) {
      out << "  " << note << '\n';
    }
  }
  for (const auto& [name, count] : this->counts) {
    out << "  " << name << ' ' << count << '\n';
  }
}

}
