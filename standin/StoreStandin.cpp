#include "StoreStandin.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <sodium.h>

namespace buckthornwing::standin {
namespace internal {

/// \brief Period of the check for expired watches.
constexpr std::chrono::milliseconds kPollPeriod{ 10 };
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kHistoryGone = 410;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

/// \returns the text with its percent-encoded bytes decoded.
std::string
decodePercent(const std::string& text)
{
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned value = 0;
    const char* digits = text.data() + at + 1;
    const bool isEncoded =
      text[at] == '%' && at + 2 < text.size() &&
      std::from_chars(digits, digits + 2, value, kHexadecimal).ptr ==
        digits + 2;
    decoded += isEncoded ? static_cast<char>(value) : text[at];
    at += isEncoded ? 2 : 0;
  }
  return decoded;
}

/// \returns the value of a query parameter, or empty text if it is absent.
std::string
queryText(const std::string& target, const std::string& name)
{
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t start = at + 1;
    const std::size_t end = target.find('&', start);
    const std::string pair = target.substr(start, end - start);
    if (pair.starts_with(name + "=")) {
      return decodePercent(pair.substr(name.size() + 1));
    }
    at = end;
  }
  return {};
}

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

HttpResponse
jsonReply(const boost::json::object& body)
{
  return { kOk, "application/json", boost::json::serialize(body), {} };
}

}

StoreStandin::StoreStandin(boost::asio::io_context& context,
                           std::size_t pageItems)
  : server(context)
  , timer(context)
  , pageItems(pageItems)
{
}

boost::leaf::result<void>
StoreStandin::start(const Endpoint& address)
{
  BOOST_LEAF_CHECK(this->server.open(address, "bind store"));
  this->server.start(
    [this](const std::string& target, const HttpServer::Respond& respond) {
      this->serve(target, respond);
    });
  this->poll();
  return {};
}

void
StoreStandin::put(const std::string& key, const std::string& value)
{
  Item& item = this->items[key];
  const bool isNew = item.revision == 0 || item.isDeleted;
  ++this->revision;
  item.createdRevision = isNew ? this->revision : item.createdRevision;
  item.value = value;
  item.revision = this->revision;
  item.isDeleted = false;
  this->answerWatches();
}

void
StoreStandin::remove(const std::string& key)
{
  this->items[key] = Item{ {}, ++this->revision, 0, true };
  this->answerWatches();
}

void
StoreStandin::dropHistory()
{
  this->droppedRevision = ++this->revision;
  std::erase_if(this->items,
                [](const auto& item) { return item.second.isDeleted; });
}

void
StoreStandin::restore(const Copy& from)
{
  this->items = from.items;
  this->revision = from.revision;
  this->droppedRevision = std::min(this->droppedRevision, from.revision);
  ++this->era;
  this->watches.clear();
}

void
StoreStandin::reply(const HttpServer::Respond& respond,
                    HttpResponse response) const
{
  response.fields["Store-Era"] = std::to_string(this->era);
  respond(std::move(response));
}

void
StoreStandin::serve(const std::string& target,
                    const HttpServer::Respond& respond)
{
  ++this->callCount;
  switch (this->fault) {
    case StoreFault::busy:
      this->reply(respond, { internal::kUnavailable, "text/plain", "", {} });
      return;
    case StoreFault::limited:
      this->reply(respond,
                  { internal::kTooManyRequests, "text/plain", "", {} });
      return;
    case StoreFault::malformed:
      this->reply(
        respond,
        { internal::kOk, "application/json", R"({"items":[{"key":)", {} });
      return;
    case StoreFault::silent:
      this->ignoredRequests.push_back(respond);
      return;
    case StoreFault::none:
      break;
  }
  if (target.starts_with("/-/kv-range")) {
    this->list(target, respond);
  } else if (target.starts_with("/-/kv-watch")) {
    this->watch(target, respond);
  } else {
    this->reply(respond, { internal::kNotFound, "text/plain", "", {} });
  }
}

void
StoreStandin::list(const std::string& target,
                   const HttpServer::Respond& respond)
{
  const std::string prefix = internal::queryText(target, "prefix");
  const std::string after = internal::queryText(target, "after");
  boost::json::object body;
  boost::json::array page;
  bool hasMore = false;
  for (const auto& [key, item] : this->items) {
    if (item.isDeleted || !key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (page.size() == this->pageItems) {
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
  body["as_of"] = this->revision;
  this->reply(respond, internal::jsonReply(body));
  if (this->afterPage) {
    this->afterPage();
  }
}

void
StoreStandin::watch(const std::string& target,
                    const HttpServer::Respond& respond)
{
  Watch newWatch{ internal::queryText(target, "prefix"),
                  queryNumber(target, "after", 0),
                  std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(
                      queryNumber(target, "wait_ms", 0)),
                  respond };
  const bool isKnown =
    newWatch.after >= this->droppedRevision && newWatch.after <= this->revision;
  if (!isKnown) {
    this->reply(respond, { internal::kHistoryGone, "text/plain", "", {} });
  } else if (!this->answerWatch(newWatch, false)) {
    this->watches.push_back(std::move(newWatch));
  }
}

bool
StoreStandin::answerWatch(const Watch& watch, bool isExpired)
{
  boost::json::array events;
  for (const auto& [key, item] : this->items) {
    if (item.revision <= watch.after || !key.starts_with(watch.prefix)) {
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
    return false;
  }
  boost::json::object body;
  body["events"] = std::move(events);
  body["as_of"] = this->revision;
  this->reply(watch.respond, internal::jsonReply(body));
  return true;
}

void
StoreStandin::answerWatches()
{
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(this->watches, [&](const Watch& watch) {
    return this->answerWatch(watch, now >= watch.deadline);
  });
}

void
StoreStandin::poll()
{
  this->timer.expires_after(internal::kPollPeriod);
  this->timer.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      this->answerWatches();
      this->poll();
    }
  });
}

}
