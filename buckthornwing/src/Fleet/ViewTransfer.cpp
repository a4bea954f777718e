#include "ViewTransfer.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Parts under way may fill the own link for so long.
constexpr double kMostLinkMs = 40;
constexpr double kBytesPerMegabit = 125000;
constexpr double kMillisPerSecond = 1000;
/// \brief Smaller windows would mostly wait for the receiver's next request.
constexpr std::size_t kLeastWindowParts = 4;

}

TransferLimits
transferLimitsFor(double linkMegabits)
{
  TransferLimits limits;
  if (linkMegabits <= 0) {
    return limits;
  }
  const double bytes = linkMegabits * internal::kBytesPerMegabit *
                       internal::kMostLinkMs / internal::kMillisPerSecond;
  const auto parts = std::max(std::size_t{ 1 },
                              static_cast<std::size_t>(bytes) / kViewPartBytes);
  limits.mostLarge = std::clamp(
    parts / internal::kLeastWindowParts, std::size_t{ 1 }, limits.mostLarge);
  limits.windowParts =
    std::clamp(parts / limits.mostLarge, std::size_t{ 1 }, kViewWindowParts);
  return limits;
}

std::vector<ViewPart>
cutWindow(const std::string& encoded,
          ViewContent content,
          std::uint64_t transfer,
          std::size_t offset,
          std::size_t windowParts)
{
  std::vector<ViewPart> parts;
  const std::size_t end =
    std::min(encoded.size(), offset + windowParts * kViewPartBytes);
  for (std::size_t at = offset; at < end; at += kViewPartBytes) {
    parts.push_back({ content,
                      transfer,
                      static_cast<std::uint32_t>(at),
                      static_cast<std::uint32_t>(encoded.size()),
                      encoded.substr(at, kViewPartBytes),
                      at + kViewPartBytes >= end });
  }
  return parts;
}

std::optional<std::uint64_t>
OutgoingTransfers::add(std::string encoded, MilliTime now)
{
  std::erase_if(this->kept, [now](const Kept& each) {
    return now - each.usedAt > kIdleLife;
  });
  const auto busy = std::count_if(
    this->kept.begin(), this->kept.end(), [this, now](const Kept& each) {
      return this->isBusy(each, now);
    });
  const bool isLarge = encoded.size() > this->limits.windowBytes();
  if (isLarge && static_cast<std::size_t>(busy) >= this->limits.mostLarge) {
    return std::nullopt;
  }
  this->kept.push_back({ this->nextId, std::move(encoded), now });
  return this->nextId++;
}

bool
OutgoingTransfers::isBusy(const Kept& each, MilliTime now) const
{
  return each.encoded.size() > this->limits.windowBytes() && !each.isEnding &&
         now - each.usedAt <= kBusyLife;
}

const std::string*
OutgoingTransfers::find(std::uint64_t transfer,
                        std::uint32_t offset,
                        MilliTime now)
{
  for (Kept& each : this->kept) {
    if (each.id == transfer) {
      each.usedAt = now;
      each.isEnding =
        each.isEnding || std::size_t{ offset } + this->limits.windowBytes() >=
                           each.encoded.size();
      return &each.encoded;
    }
  }
  return nullptr;
}

std::uint32_t
IncomingTransfers::firstMissing(const Transfer& transfer)
{
  std::uint32_t expected = 0;
  for (const std::uint32_t offset : transfer.offsets) {
    if (offset != expected) {
      break;
    }
    expected += kViewPartBytes;
  }
  return expected;
}

bool
IncomingTransfers::isFetchingLarge() const
{
  return std::any_of(
    this->bySender.begin(), this->bySender.end(), [](const auto& entry) {
      return entry.second.tries < kTriesAlone &&
             entry.second.bytes.size() > kViewWindowBytes;
    });
}

bool
IncomingTransfers::isFetching() const
{
  return std::any_of(
    this->bySender.begin(), this->bySender.end(), [](const auto& entry) {
      return entry.second.tries < kTriesAlone;
    });
}

bool
IncomingTransfers::accepts(const Endpoint& sender, const ViewPart& part)
{
  if (this->bySender.contains(sender)) {
    return true;
  }
  const auto known = this->declined.find(sender);
  if (known != this->declined.end() && known->second == part.transfer) {
    return false;
  }
  if (part.total > kViewWindowBytes && this->isFetchingLarge()) {
    if (this->declined.size() >= kMostSenders) {
      this->declined.clear();
    }
    this->declined[sender] = part.transfer;
    return false;
  }
  return this->bySender.size() < kMostSenders;
}

IncomingTransfers::Progress
IncomingTransfers::add(const Endpoint& sender,
                       const ViewPart& part,
                       MilliTime now)
{
  const std::size_t end = std::size_t{ part.offset } + part.bytes.size();
  const bool isSound = part.total <= kMostBytes && end <= part.total &&
                       !part.bytes.empty() && part.offset % kViewPartBytes == 0;
  if (!isSound) {
    return {};
  }
  if (!this->accepts(sender, part)) {
    return {};
  }
  Transfer& transfer = this->bySender[sender];
  if (transfer.id != part.transfer || transfer.bytes.size() != part.total) {
    transfer = Transfer{};
    transfer.id = part.transfer;
    transfer.bytes.resize(part.total);
    transfer.startedAt = now;
  }
  transfer.heardAt = now;
  transfer.tries = 0;
  if (transfer.offsets.insert(part.offset).second) {
    std::copy(part.bytes.begin(),
              part.bytes.end(),
              transfer.bytes.begin() + part.offset);
    transfer.received += part.bytes.size();
  }
  Progress progress;
  if (transfer.received >= part.total) {
    progress.whole = std::move(transfer.bytes);
    progress.took = now - transfer.startedAt;
    this->bySender.erase(sender);
    return progress;
  }
  if (part.endsWindow) {
    progress.next =
      ViewRequest{ this->content, 0, transfer.id, firstMissing(transfer) };
  }
  return progress;
}

std::vector<std::pair<Endpoint, ViewRequest>>
IncomingTransfers::overdue(MilliTime now)
{
  std::vector<std::pair<Endpoint, ViewRequest>> requests;
  for (auto& [sender, transfer] : this->bySender) {
    if (now - transfer.heardAt < transfer.patience()) {
      continue;
    }
    transfer.heardAt = now;
    ++transfer.tries;
    requests.emplace_back(
      sender,
      ViewRequest{ this->content, 0, transfer.id, firstMissing(transfer) });
  }
  std::erase_if(this->bySender, [](const auto& entry) {
    return entry.second.tries > kMostTries;
  });
  return requests;
}

}
