#include "StoreData.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sodium.h>

namespace buckthornwing::standin {
namespace internal {

constexpr unsigned kHistoryGone = 410;

std::string
encodeBase64(const std::string& bytes)
{
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(),
                    text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(),
                    kVariant);
  text.resize(text.size() - 1);
  return text;
}

}

void
StoreData::put(const std::string& key, const std::string& value)
{
  Item& item = this->items[key];
  const bool isNew = item.revision == 0 || item.isDeleted;
  ++this->currentRevision;
  item.createdRevision = isNew ? this->currentRevision : item.createdRevision;
  item.value = value;
  item.revision = this->currentRevision;
  item.isDeleted = false;
}

void
StoreData::remove(const std::string& key)
{
  this->items[key] = Item{ {}, ++this->currentRevision, 0, true };
}

void
StoreData::dropHistory()
{
  this->droppedRevision = ++this->currentRevision;
  std::erase_if(this->items,
                [](const auto& item) { return item.second.isDeleted; });
}

void
StoreData::restore(const Copy& from)
{
  this->items = from.items;
  this->currentRevision = from.revision;
  this->droppedRevision = std::min(this->droppedRevision, from.revision);
  ++this->currentEra;
}

std::optional<std::string>
StoreData::find(const std::string& key) const
{
  const auto found = this->items.find(key);
  const bool exists = found != this->items.end() && !found->second.isDeleted;
  return exists ? std::optional(found->second.value) : std::nullopt;
}

std::vector<std::string>
StoreData::keys(const std::string& prefix) const
{
  std::vector<std::string> found;
  for (const auto& [key, item] : this->items) {
    if (!item.isDeleted && key.starts_with(prefix)) {
      found.push_back(key);
    }
  }
  return found;
}

StoreAnswer
StoreData::list(const std::string& prefix,
                const std::string& after,
                std::size_t pageItems) const
{
  boost::json::object body;
  boost::json::array page;
  bool hasMore = false;
  for (const auto& [key, item] : this->items) {
    if (item.isDeleted || !key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (page.size() == pageItems) {
      hasMore = true;
      break;
    }
    page.push_back({ { "key", key },
                     { "value", internal::encodeBase64(item.value) },
                     { "revision", item.revision },
                     { "created_rev", item.createdRevision },
                     { "lease", 0 } });
  }
  body["items"] = std::move(page);
  body["has_more"] = hasMore;
  body["as_of"] = this->currentRevision;
  return { 200, boost::json::serialize(body), hasMore };
}

std::optional<StoreAnswer>
StoreData::watch(const std::string& prefix,
                 std::uint64_t after,
                 bool isExpired) const
{
  if (after < this->droppedRevision || after > this->currentRevision) {
    return StoreAnswer{ internal::kHistoryGone, {} };
  }
  boost::json::array events;
  for (const auto& [key, item] : this->items) {
    if (item.revision <= after || !key.starts_with(prefix)) {
      continue;
    }
    boost::json::object event{ { "key", key }, { "revision", item.revision } };
    if (item.isDeleted) {
      event["is_gone"] = true;
    } else {
      event["value"] = internal::encodeBase64(item.value);
    }
    events.push_back(std::move(event));
  }
  if (events.empty() && !isExpired) {
    return std::nullopt;
  }
  boost::json::object body;
  body["events"] = std::move(events);
  body["as_of"] = this->currentRevision;
  return StoreAnswer{ 200, boost::json::serialize(body) };
}

}
