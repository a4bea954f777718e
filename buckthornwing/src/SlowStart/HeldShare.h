#ifndef BUCKTHORNWING_HELD_SHARE_H
#define BUCKTHORNWING_HELD_SHARE_H

#include "../Core/MilliTime.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace buckthornwing {

/// \brief Time for which a higher share must have been computed before it
/// applies. Meanwhile the other instances learn of the same members, and the
/// flows that they placed by their former shares become over a second old.
inline constexpr MilliDuration kShareHoldTime{ 5000 };

/// \brief A share that falls at once, and rises to the lowest value that was
/// computed during kShareHoldTime.
class HeldShare
{
public:
  /// \brief Takes the share that is computed now.
  /// \param since time since which the computed share has been the same, as far
  /// as known; used only when a rise begins
  void update(std::uint32_t share, MilliTime since, MilliTime now)
  {
    if (share <= this->granted) {
      this->granted = share;
      this->rise.reset();
      return;
    }
    if (!this->rise) {
      this->rise = Rise{ share, since };
    }
    this->rise->share = std::min(this->rise->share, share);
    if (now - this->rise->since >= kShareHoldTime) {
      this->granted = this->rise->share;
      this->rise.reset();
    }
  }

  /// \returns the flows a second that may be placed now.
  std::uint32_t value() const { return this->granted; }

private:
  /// \brief A rise that does not apply yet.
  struct Rise
  {
    std::uint32_t share = 0; ///< lowest one since then
    MilliTime since{};
  };

  std::uint32_t granted = 0;
  std::optional<Rise> rise;
};

}

#endif
