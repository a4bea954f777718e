#ifndef BUCKTHORNWING_VIEW_TRANSFER_H
#define BUCKTHORNWING_VIEW_TRANSFER_H

#include "FleetMessage.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Bytes of an encoded update in one message, which fits into one
/// datagram on common links.
inline constexpr std::size_t kViewPartBytes = 1200;
/// \brief Parts that are sent at once (one window). The receiver requests each
/// further window.
inline constexpr std::size_t kViewWindowParts = 16;
inline constexpr std::size_t kViewWindowBytes =
  kViewPartBytes * kViewWindowParts;

/// \returns the parts of one window of an encoded update, beginning at \a
/// offset; fewer at the end of the update.
std::vector<ViewPart>
splitWindow(const std::string& encoded,
            ViewContent content,
            std::uint64_t transfer,
            std::size_t offset);

/// \brief Updates that peers are receiving from this instance.
class OutgoingTransfers
{
public:
  /// \brief Stores an encoded update until nobody has requested it for a while.
  /// \returns the id of its transfer; nothing if the update is large and too
  /// many large ones are in progress
  std::optional<std::uint64_t> add(std::string encoded, MilliTime now);

  /// \brief Records a request for the window at an offset. When the last window
  /// is requested, the update no longer counts as a large one in progress.
  /// \returns the encoded update, or null if it is no longer stored
  const std::string* find(std::uint64_t transfer,
                          std::uint32_t offset,
                          MilliTime now);

private:
  /// \brief Limit of large updates in progress. More would share the link's
  /// rate, and all of them would be late.
  static constexpr std::size_t kMaxLargeTransfers = 4;
  static constexpr MilliDuration kUpdateIdleTimeout{ 400 };

  /// \brief An update in progress.
  struct StoredUpdate
  {
    std::uint64_t id = 0;
    std::string encoded;
    MilliTime usedAt{};
    bool isLastWindowRequested = false; ///< its last window was requested

    bool isLarge() const
    {
      return this->encoded.size() > kViewWindowBytes &&
             !this->isLastWindowRequested;
    }
  };

  std::deque<StoredUpdate> kept;
  std::uint64_t nextId = 1;
};

/// \brief Updates of one content that this instance is receiving, at most one
/// from each sender.
class IncomingTransfers
{
public:
  explicit IncomingTransfers(ViewContent content)
    : content(content)
  {
  }

  /// \brief State of a transfer after a received part.
  struct Progress
  {
    std::optional<std::string> whole; ///< the encoded update, if complete
    std::optional<ViewRequest> next;  ///< request to send for the next window
    MilliDuration duration{};         ///< duration of a complete transfer
  };

  /// \brief Stores a part. Invalid parts are ignored, as are those of further
  /// senders if too many are sending.
  Progress add(const Endpoint& sender, const ViewPart& part, MilliTime now);

  /// \brief Drops transfers that have made no progress after several requests.
  /// \returns requests, with their receivers, for parts that did not arrive in
  /// time
  std::vector<std::pair<Endpoint, ViewRequest>> repeatRequests(MilliTime now);

  /// \returns whether an update is being received.
  bool isFetching() const { return !this->bySender.empty(); }

private:
  /// \brief Maximum size of an update. No view is larger, so parts that claim
  /// more are ignored.
  static constexpr std::size_t kMaxUpdateBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t kMaxSenders = 16;
  static constexpr MilliDuration kPartTimeout{ 150 };
  static constexpr int kMaxRepeatedRequests = 4;

  /// \brief An update of which some parts have arrived.
  struct Transfer
  {
    std::uint64_t id = 0;
    std::string bytes;
    std::set<std::uint32_t> offsets; ///< of the parts that have arrived
    std::size_t received = 0;        ///< bytes
    MilliTime startedAt{};           ///< arrival of the first part
    MilliTime heardAt{};             ///< last part, or last repeated request
    int tries = 0;                   ///< repeated requests since the last part
  };

  ViewContent content;
  std::map<Endpoint, Transfer> bySender;

  /// \returns the offset of the first part that has not arrived.
  static std::uint32_t firstMissing(const Transfer& transfer);
};

}

#endif
