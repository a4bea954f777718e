#ifndef BUCKTHORNWING_REQUEST_WINDOW_H
#define BUCKTHORNWING_REQUEST_WINDOW_H

#include "../Core/MilliTime.h"

#include <cstddef>
#include <deque>

namespace buckthornwing {

/// \brief Span in which requests are counted: a second, and the difference of
/// the times that two openings may take from the instance to the target.
inline constexpr MilliDuration kRequestWindow{ 1100 };

/// \brief Times of the last requests to one target, in a window that slides.
class RequestWindow
{
public:
  void add(MilliTime now)
  {
    this->dropOld(now);
    this->times.push_back(now);
  }

  /// \returns the number of requests in the window that ends now.
  std::size_t count(MilliTime now) const
  {
    std::size_t recent = this->times.size();
    for (const MilliTime at : this->times) {
      if (now - at <= kRequestWindow) {
        break;
      }
      --recent;
    }
    return recent;
  }

private:
  std::deque<MilliTime> times; ///< in ascending order

  void dropOld(MilliTime now)
  {
    while (!this->times.empty() && now - this->times.front() > kRequestWindow) {
      this->times.pop_front();
    }
  }
};

}

#endif
