#ifndef BUCKTHORNWING_TOKEN_BUCKET_H
#define BUCKTHORNWING_TOKEN_BUCKET_H

#include "MilliTime.h"

#include <algorithm>

namespace buckthornwing {

/// \brief A rate limit with a burst; units are the caller's.
struct TokenBucket
{
  double perSecond = 0;
  double burst = 0;
  double tokens = 0;
  MilliTime last{};

  /// \brief Changes the rate; a first call fills the bucket.
  void configure(double newRate, double newBurst)
  {
    if (this->burst == 0) {
      this->tokens = newBurst;
    }
    this->perSecond = newRate;
    this->burst = newBurst;
  }

  /// \brief Takes \a amount if that much is there.
  bool take(double amount, MilliTime now)
  {
    this->refill(now);
    if (this->tokens < amount) {
      return false;
    }
    this->tokens -= amount;
    return true;
  }

  /// \brief Takes \a amount even if the level falls below zero.
  void force(double amount, MilliTime now)
  {
    this->refill(now);
    this->tokens -= amount;
  }

  void refill(MilliTime now)
  {
    if (now <= this->last) {
      return;
    }
    const double seconds = static_cast<double>((now - this->last).ms) / 1000;
    this->tokens =
      std::min(this->burst, this->tokens + seconds * this->perSecond);
    this->last = now;
  }
};

}

#endif
