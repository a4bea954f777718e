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
/// \brief Parts that are sent at once at most; the receiver asks for the next
/// ones.
inline constexpr std::size_t kViewWindowParts = 16;
inline constexpr std::size_t kViewWindowBytes =
  kViewPartBytes * kViewWindowParts;

/// \brief How much of an instance's link large updates may fill.
struct TransferLimits
{
  std::size_t windowParts = kViewWindowParts; ///< to one receiver at once
  std::size_t mostLarge = 4; ///< receivers of large updates at once

  std::size_t windowBytes() const { return this->windowParts * kViewPartBytes; }
};

/// \returns limits within which callers' packets and probes wait only a moment
/// behind parts of updates.
/// \param linkMegabits a second, of the own link; 0 if unknown
TransferLimits
transferLimitsFor(double linkMegabits);

/// \returns up to a window of parts of an encoded update.
std::vector<ViewPart>
cutWindow(const std::string& encoded,
          ViewContent content,
          std::uint64_t transfer,
          std::size_t offset,
          std::size_t windowParts = kViewWindowParts);

/// \brief Updates that receivers are fetching from this instance.
class OutgoingTransfers
{
public:
  /// \param run differs for each run of the process, so that names of its
  /// transfers do too
  explicit OutgoingTransfers(TransferLimits newLimits = {},
                             std::uint64_t run = 0)
    : limits(newLimits)
    , nextId((run << kRunShift) % kRunLimit + 1)
  {
  }

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
  /// A receiver that was silent for so long makes room for others.
  static constexpr MilliDuration kBusyLife{ 400 };
  /// It may still ask again for so long.
  static constexpr MilliDuration kIdleLife{ 1500 };
  /// Names of one run take the lower bits.
  static constexpr int kRunShift = 20;
  static constexpr std::uint64_t kRunLimit = std::uint64_t{ 1 } << 62;

  struct Kept
  {
    std::uint64_t id = 0;
    std::string encoded;
    MilliTime usedAt{};
    bool isEnding = false; ///< its last window was sent
  };

  TransferLimits limits;
  std::deque<Kept> kept;
  std::uint64_t nextId;

  bool isBusy(const Kept& each, MilliTime now) const;
};

/// \brief Updates of one content that this instance is fetching, one from each
/// sender, and one large one in all.
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

  /// \returns whether an update is under way whose sender is not long silent.
  bool isFetching() const;

private:
  /// \brief No view is larger; a sender that claims so is not believed.
  static constexpr std::size_t kMostBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t kMostSenders = 16;
  /// Doubles with each try: what is late may wait at a link that is full, and
  /// asking for it again would fill it more.
  static constexpr MilliDuration kPartWithin{ 150 };
  static constexpr int kMostTries = 3;
  /// \brief After so many others may send theirs too.
  static constexpr int kTriesAlone = 2;

  struct Transfer
  {
    std::uint64_t id = 0;
    std::string bytes;
    std::set<std::uint32_t> offsets; ///< of the parts that arrived
    std::size_t received = 0;
    MilliTime startedAt{};
    MilliTime heardAt{};
    int tries = 0;

    MilliDuration patience() const
    {
      return MilliDuration{ kPartWithin.ms << this->tries };
    }
  };

  ViewContent content;
  std::map<Endpoint, Transfer> bySender;
  std::map<Endpoint, std::uint64_t> declined; ///< transfers not wanted

  bool accepts(const Endpoint& sender, const ViewPart& part);
  bool isFetchingLarge() const;
  static std::uint32_t firstMissing(const Transfer& transfer);
};

}

#endif
