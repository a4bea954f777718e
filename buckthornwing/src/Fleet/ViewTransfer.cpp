#include "ViewTransfer.h"

#include <algorithm>

namespace buckthornwing {

std::vector<ViewPart>
cutIntoParts(const std::string& encoded, std::uint64_t transfer)
{
  std::vector<ViewPart> parts;
  for (std::size_t at = 0; at < encoded.size(); at += kViewPartBytes) {
    parts.push_back({ transfer,
                      static_cast<std::uint32_t>(at),
                      static_cast<std::uint32_t>(encoded.size()),
                      encoded.substr(at, kViewPartBytes) });
  }
  return parts;
}

std::optional<std::string>
ViewTransfers::add(const Endpoint& sender, const ViewPart& part)
{
  const std::size_t end = std::size_t{ part.offset } + part.bytes.size();
  if (part.total > kMostBytes || end > part.total || part.bytes.empty()) {
    return std::nullopt;
  }
  if (this->bySender.size() >= kMostSenders &&
      !this->bySender.contains(sender)) {
    this->bySender.clear();
  }
  Transfer& transfer = this->bySender[sender];
  if (transfer.id != part.transfer || transfer.bytes.size() != part.total) {
    transfer = Transfer{};
    transfer.id = part.transfer;
    transfer.bytes.resize(part.total);
  }
  if (!transfer.offsets.insert(part.offset).second) {
    return std::nullopt;
  }
  std::copy(
    part.bytes.begin(), part.bytes.end(), transfer.bytes.begin() + part.offset);
  transfer.received += part.bytes.size();
  if (transfer.received < part.total) {
    return std::nullopt;
  }
  std::string whole = std::move(transfer.bytes);
  this->bySender.erase(sender);
  return whole;
}

}
