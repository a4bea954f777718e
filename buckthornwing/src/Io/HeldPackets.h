#ifndef BUCKTHORNWING_HELD_PACKETS_H
#define BUCKTHORNWING_HELD_PACKETS_H

#include "../Core/MilliTime.h"

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief A packet that waits for a newer view.
struct HeldPacket
{
  MilliTime since;
  std::vector<std::uint8_t> bytes;

  /// \returns whether its caller has sent it again by now.
  bool isOver(MilliTime now) const { return now - this->since > kLongestHold; }

private:
  /// Callers send a packet again after 200 ms, so an older one is of no use.
  static constexpr MilliDuration kLongestHold{ 400 };
};

/// \brief Packets that wait for a newer view; bounded in number.
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

  /// \brief Puts a packet back that has to wait on.
  void keep(HeldPacket packet) { this->packets.push_back(std::move(packet)); }

  /// \brief Takes out all packets, for a new decision or the end.
  std::vector<HeldPacket> takeAll() { return std::exchange(this->packets, {}); }

  bool empty() const { return this->packets.empty(); }

private:
  static constexpr std::size_t kMostPackets = 2000;

  std::vector<HeldPacket> packets;
};

}

#endif
