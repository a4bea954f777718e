#ifndef BUCKTHORNWING_TEST_BUSIEST_SECOND_H
#define BUCKTHORNWING_TEST_BUSIEST_SECOND_H

#include <Core>

#include <algorithm>
#include <vector>

namespace buckthornwing::test {

/// \returns the most of the given times that lie in any second.
inline std::size_t
busiestSecond(std::vector<MilliTime> times)
{
  constexpr MilliDuration kSecond{ 1000 };
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > kSecond) {
      ++first;
    }
    most = std::max(most, last + 1 - first);
  }
  return most;
}

}

#endif
