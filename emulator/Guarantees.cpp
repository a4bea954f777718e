#include "Guarantees.h"

namespace buckthornwing::emulator {

void
Guarantees::reportViolation(const std::string& guarantee,
                            const std::string& detail)
{
  this->count("broken_" + guarantee);
  if (++this->violations <= kMaxReported) {
    this->note("BROKEN " + guarantee + ": " + detail);
  }
}

void
Guarantees::note(const std::string& text)
{
  const MilliDuration at = bootTime() - this->start;
  this->notes.push_back(std::to_string(at.ms) + " ms " + text);
}

void
Guarantees::print(std::ostream& out) const
{
  if (this->violations > 0) {
    for (const std::string& note : this->notes) {
      out << "  " << note << '\n';
    }
  }
  for (const auto& [name, count] : this->counts) {
    out << "  " << name << ' ' << count << '\n';
  }
}

}
