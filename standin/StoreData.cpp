#include "StoreData.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sodium.h>

namespace buckthornwing::standin {
namespace internal {

constexpr unsigned kHistoryGone = 410;
/// \brief Size of the values that the history keeps; older writes are dropped.
constexpr std::size_t kMaxHistoryBytes = 32UL * 1024 * 1024;

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
  const std::uint64_t revision = ++this->current.revision;
  const auto [found, isNew] = this->current.items.try_emplace(key);
  Item& item = found->second;
  item.createdRevision = isNew ? revision : item.createdRevision;
  item.value = value;
  item.revision = revision;
  this->record({ key, revision, value });
}

void
StoreData::remove(const std::string& key)
{
  this->current.items.erase(key);
  this->record({ key, ++this->current.revision, std::nullopt });
}

void
StoreData::record(Change change)
{
  const auto sizeOf = [](const Change& each) {
    return each.key.size() + (each.value ? each.value->size() : 0);
  };
  std::deque<Change>& history = this->current.history;
  this->current.historyBytes += sizeOf(change);
  history.push_back(std::move(change));
  while (this->current.historyBytes > internal::kMaxHistoryBytes) {
    this->current.historyBytes -= sizeOf(history.front());
    this->current.droppedRevision = history.front().revision;
    history.pop_front();
  }
}

void
StoreData::dropHistory()
{
  this->current.droppedRevision = ++this->current.revision;
  this->current.history.clear();
  this->current.historyBytes = 0;
}

void
StoreData::restore(const Copy& from)
{
  this->current = from;
  ++this->currentEra;
}

std::optional<std::string>
StoreData::find(const std::string& key) const
{
  const auto found = this->current.items.find(key);
  return found == this->current.items.end()
           ? std::nullopt
           : std::optional(found->second.value);
}

std::vector<std::string>
StoreData::keys(const std::string& prefix) const
{
  std::vector<std::string> found;
  for (const auto& [key, item] : this->current.items) {
    if (key.starts_with(prefix)) {
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
  for (const auto& [key, item] : this->current.items) {
    if (!key.starts_with(prefix) || key <= after) {
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
  body["as_of"] = this->current.revision;
  return { 200, boost::json::serialize(body), hasMore };
}

std::optional<StoreAnswer>
StoreData::watch(const std::string& prefix,
                 std::uint64_t after,
                 bool isExpired) const
{
  if (after < this->current.droppedRevision || after > this->current.revision) {
    return StoreAnswer{ internal::kHistoryGone, {} };
  }
  boost::json::array events;
  const auto first =
    std::upper_bound(this->current.history.begin(),
                     this->current.history.end(),
                     after,
                     [](std::uint64_t revision, const Change& change) {
                       return revision < change.revision;
                     });
  for (auto at = first; at != this->current.history.end(); ++at) {
    if (!at->key.starts_with(prefix)) {
      continue;
    }
    boost::json::object event{ { "key", at->key },
                               { "revision", at->revision } };
    if (at->value) {
      event["value"] = internal::encodeBase64(*at->value);
    } else {
      event["is_gone"] = true;
    }
    events.push_back(std::move(event));
  }
  if (events.empty() && !isExpired) {
    return std::nullopt;
  }
  boost::json::object body;
  body["events"] = std::move(events);
  body["as_of"] = this->current.revision;
  return StoreAnswer{ 200, boost::json::serialize(body) };
}

}
