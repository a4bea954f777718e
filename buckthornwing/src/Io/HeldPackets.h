#ifndef BUCKTHORNWING_HELD_PACKETS_H
#define BUCKTHORNWING_HELD_PACKETS_H

#include "../Core/MilliTime.h"

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief A packet whose decision waits for a newer view of targets and routes.
struct HeldPacket
{
  MilliTime heldSince; ///< when it was received
  std::vector<std::uint8_t> bytes;

  /// \returns whether the packet is obsolete because its caller has
  /// retransmitted it.
  bool isExpired(MilliTime now) const
  {
    return now - this->heldSince > kMaxHoldTime;
  }

private:
  /// \brief Maximum time that a packet is held. Callers retransmit after
  /// 200 ms, so an older packet has been replaced by its retransmission.
  static constexpr MilliDuration kMaxHoldTime{ 400 };
};

/// \brief Bounded queue of packets that wait for a newer view.
class HeldPackets
{
public:
  /// \brief Adds a received packet.
  /// \returns false if the queue is full; the packet isn't added then.
  bool hold(std::span<const std::uint8_t> packet, MilliTime now)
  {
    if (this->packets.size() >= kMaxPackets) {
      return false;
    }
    this->packets.push_back({ now, { packet.begin(), packet.end() } });
    return true;
  }

  /// \brief Adds a packet from takeAll() again because it still has to wait.
  /// The limit isn't checked.
  void putBack(HeldPacket packet)
  {
    this->packets.push_back(std::move(packet));
  }

  /// \brief Removes all packets from the queue.
  /// \returns the packets in the order in which they were added.
  std::vector<HeldPacket> takeAll() { return std::exchange(this->packets, {}); }

  bool empty() const { return this->packets.empty(); }

private:
  static constexpr std::size_t kMaxPackets = 2000;

  std::vector<HeldPacket> packets;
};

}

#endif
