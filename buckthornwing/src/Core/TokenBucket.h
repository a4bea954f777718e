#ifndef BUCKTHORNWING_TOKEN_BUCKET_H
#define BUCKTHORNWING_TOKEN_BUCKET_H

#include "MilliTime.h"

#include <algorithm>

namespace buckthornwing {

/// \brief Token bucket rate limiter; the caller defines the unit of a token.
struct TokenBucket
{
  double perSecond = 0;
  double burst = 0; ///< maximum number of tokens
  double tokens = 0;
  MilliTime last{};

  /// \brief Changes rate and burst; the first call fills the bucket.
  void configure(double newRate, double newBurst)
  {
    if (this->burst == 0) {
      this->tokens = newBurst;
    }
    this->perSecond = newRate;
    this->burst = newBurst;
  }

  /// \brief Removes \a amount tokens if there are as many.
  /// \returns whether they were removed
  bool take(double amount, MilliTime now)
  {
    this->refill(now);
    if (this->tokens < amount) {
      return false;
    }
    this->tokens -= amount;
    return true;
  }

  /// \brief Removes \a amount tokens, even if the number becomes negative.
  void takeUnconditionally(double amount, MilliTime now)
  {
    this->refill(now);
    this->tokens -= amount;
  }

  /// \brief Adds the tokens of the time since the last call, up to the burst.
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
