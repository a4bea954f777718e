#ifndef BUCKTHORNWING_HELD_PACKETS_H
#define BUCKTHORNWING_HELD_PACKETS_H

#include "../Core/MilliTime.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief Packets that wait for a newer view; bounded in number and time.
class HeldPackets
{
public:
  /// \brief Keeps a packet unless there are too many.
  /// \returns whether it was kept
  bool hold(std::span<const std::uint8_t> packet, MilliTime now)
  {
    if (this->packets.size() >= kMostPackets) {
      return false;
    }
    this->packets.push_back({ now, { packet.begin(), packet.end() } });
    return true;
  }

  /// \brief Takes out all packets that are not too old, for a new decision.
  std::vector<std::vector<std::uint8_t>> release(MilliTime now)
  {
    std::vector<std::vector<std::uint8_t>> released;
    for (Held& held : this->packets) {
      if (now - held.since <= kLongestHold) {
        released.push_back(std::move(held.bytes));
      }
    }
    this->packets.clear();
    return released;
  }

  bool empty() const { return this->packets.empty(); }

private:
  static constexpr std::size_t kMostPackets = 2000;
  /// Callers send a packet again after 200 ms, so an older one is of no use.
  static constexpr MilliDuration kLongestHold{ 400 };

  struct Held
  {
    MilliTime since;
    std::vector<std::uint8_t> bytes;
  };

  std::deque<Held> packets;
};

}

#endif
