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

/// \brief Bytes of an encoded update in one message; fits into one datagram of
/// usual links.
inline constexpr std::size_t kViewPartBytes = 1200;
/// \brief Parts that are sent at once; the receiver asks for the next ones.
inline constexpr std::size_t kViewWindowParts = 16;
inline constexpr std::size_t kViewWindowBytes =
  kViewPartBytes * kViewWindowParts;

/// \returns up to a window of parts of an encoded update.
std::vector<ViewPart>
cutWindow(const std::string& encoded,
          ViewContent content,
          std::uint64_t transfer,
          std::size_t offset);

/// \brief Updates that receivers are fetching from this instance.
class OutgoingTransfers
{
public:
  /// \brief Keeps an encoded update until it was fetched.
  /// \returns its name; nothing if too many are being fetched
  std::optional<std::uint64_t> add(std::string encoded, MilliTime now);

  /// \brief Notes that a receiver asks for the window at an offset. With the
  /// last one a large update no longer keeps others waiting.
  /// \returns the update, or null if it is not kept any more.
  const std::string* find(std::uint64_t transfer,
                          std::uint32_t offset,
                          MilliTime now);

private:
  /// More would only share the link and all be late.
  static constexpr std::size_t kMostLargeTransfers = 4;
  static constexpr MilliDuration kIdleLife{ 400 };

  struct Kept
  {
    std::uint64_t id = 0;
    std::string encoded;
    MilliTime usedAt{};
    bool isEnding = false; ///< its last window was sent

    bool isLarge() const
    {
      return this->encoded.size() > kViewWindowBytes && !this->isEnding;
    }
  };

  std::deque<Kept> kept;
  std::uint64_t nextId = 1;
};

/// \brief Updates of one content that this instance is fetching, one from each
/// sender.
class IncomingTransfers
{
public:
  explicit IncomingTransfers(ViewContent content)
    : content(content)
  {
  }

  /// \brief What a part led to.
  struct Progress
  {
    std::optional<std::string> whole; ///< the update, once it is complete
    std::optional<ViewRequest> next;  ///< what to ask the sender for
    MilliDuration took{};             ///< since the first part, once complete
  };

  Progress add(const Endpoint& sender, const ViewPart& part, MilliTime now);

  /// \returns requests for parts that did not come; gives up after a while.
  std::vector<std::pair<Endpoint, ViewRequest>> overdue(MilliTime now);

  /// \returns whether an update is under way.
  bool isFetching() const { return !this->bySender.empty(); }

private:
  /// \brief No view is larger; a sender that claims so is not believed.
  static constexpr std::size_t kMostBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t kMostSenders = 16;
  static constexpr MilliDuration kPartWithin{ 150 };
  static constexpr int kMostTries = 4;

  struct Transfer
  {
    std::uint64_t id = 0;
    std::string bytes;
    std::set<std::uint32_t> offsets; ///< of the parts that arrived
    std::size_t received = 0;
    MilliTime startedAt{};
    MilliTime heardAt{};
    int tries = 0;
  };

  ViewContent content;
  std::map<Endpoint, Transfer> bySender;

  static std::uint32_t firstMissing(const Transfer& transfer);
};

}

#endif
