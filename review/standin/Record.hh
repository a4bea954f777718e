#ifndef REVIEW_RECORD_HH
#define REVIEW_RECORD_HH

#include "EventLoop.hh"

#include <fstream>
#include <iomanip>
#include <string>

namespace review {

/// \brief Writes record.txt: one line for each event, with the seconds since
/// the start.
class Record
{
public:
  Record(const EventLoop& loop, const std::string& fileName)
    : loop(loop)
    , file(fileName)
  {
  }

  void line(const std::string& text)
  {
    constexpr double kMsPerSecond = 1000.0;
    this->file << std::fixed << std::setprecision(3)
               << static_cast<double>(this->loop.now()) / kMsPerSecond << ' '
               << text << '\n';
    this->file.flush();
  }

private:
  const EventLoop& loop;
  std::ofstream file;
};

}

#endif
