#include "ViewTransfer.h"

#include <algorithm>

namespace buckthornwing {

std::vector<ViewPart>
splitWindow(const std::string& encoded,
            ViewContent content,
            std::uint64_t transfer,
            std::size_t offset)
{
  std::vector<ViewPart> parts;
  const std::size_t end = std::min(encoded.size(), offset + kViewWindowBytes);
  for (std::size_t at = offset; at < end; at += kViewPartBytes) {
    parts.push_back({ content,
                      transfer,
                      static_cast<std::uint32_t>(at),
                      static_cast<std::uint32_t>(encoded.size()),
                      encoded.substr(at, kViewPartBytes) });
  }
  return parts;
}

std::optional<std::uint64_t>
OutgoingTransfers::add(std::string encoded, MilliTime now)
{
  std::erase_if(this->kept, [now](const StoredUpdate& each) {
    return now - each.usedAt > kUpdateIdleTimeout;
  });
  const auto large =
    std::count_if(this->kept.begin(),
                  this->kept.end(),
                  [](const StoredUpdate& each) { return each.isLarge(); });
  const bool isLarge = encoded.size() > kViewWindowBytes;
  if (isLarge && static_cast<std::size_t>(large) >= kMaxLargeTransfers) {
    return std::nullopt;
  }
  this->kept.push_back({ this->nextId, std::move(encoded), now });
  return this->nextId++;
}

const std::string*
OutgoingTransfers::find(std::uint64_t transfer,
                        std::uint32_t offset,
                        MilliTime now)
{
  for (StoredUpdate& each : this->kept) {
    if (each.id == transfer) {
      each.usedAt = now;
      each.isLastWindowRequested =
        each.isLastWindowRequested ||
        std::size_t{ offset } + kViewWindowBytes >= each.encoded.size();
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

IncomingTransfers::Progress
IncomingTransfers::add(const Endpoint& sender,
                       const ViewPart& part,
                       MilliTime now)
{
  const std::size_t end = std::size_t{ part.offset } + part.bytes.size();
  const bool isValid = part.total <= kMaxUpdateBytes && end <= part.total &&
                       !part.bytes.empty() && part.offset % kViewPartBytes == 0;
  if (!isValid) {
    return {};
  }
  if (this->bySender.size() >= kMaxSenders &&
      !this->bySender.contains(sender)) {
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
    progress.duration = now - transfer.startedAt;
    this->bySender.erase(sender);
    return progress;
  }
  const bool endsWindow = end % kViewWindowBytes == 0;
  if (endsWindow) {
    progress.next =
      ViewRequest{ this->content, 0, {}, transfer.id, firstMissing(transfer) };
  }
  return progress;
}

std::vector<std::pair<Endpoint, ViewRequest>>
IncomingTransfers::repeatRequests(MilliTime now)
{
  std::vector<std::pair<Endpoint, ViewRequest>> requests;
  for (auto& [sender, transfer] : this->bySender) {
    if (now - transfer.heardAt < kPartTimeout) {
      continue;
    }
    transfer.heardAt = now;
    ++transfer.tries;
    requests.emplace_back(
      sender,
      ViewRequest{ this->content, 0, {}, transfer.id, firstMissing(transfer) });
  }
  std::erase_if(this->bySender, [](const auto& entry) {
    return entry.second.tries > kMaxRepeatedRequests;
  });
  return requests;
}

}
