#include "Target.h"

#include <iomanip>
#include <sstream>

namespace buckthornwing::emulator {

std::string
formatTargetId(std::uint64_t number)
{
  std::ostringstream id;
  id << "i-" << std::hex << std::setw(8) << std::setfill('0') << number;
  return id.str();
}

}
