#include "StoreStandin.h"

#include <charconv>

namespace buckthornwing::standin {
namespace internal {

/// \brief Period of the check for expired watches.
constexpr std::chrono::milliseconds kPollPeriod{ 10 };
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
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
  this->data.put(key, value);
  this->answerWatches();
}

void
StoreStandin::remove(const std::string& key)
{
  this->data.remove(key);
  this->answerWatches();
}

void
StoreStandin::restore(const StoreData::Copy& from)
{
  this->data.restore(from);
  this->watches.clear();
}

void
StoreStandin::reply(const HttpServer::Respond& respond,
                    const StoreAnswer& answer) const
{
  HttpResponse response{ answer.status, "application/json", answer.body, {} };
  response.fields["Store-Era"] = std::to_string(this->data.era());
  respond(std::move(response));
}

void
StoreStandin::serve(const std::string& target,
                    const HttpServer::Respond& respond)
{
  ++this->callCount;
  switch (this->fault) {
    case StoreFault::busy:
      this->reply(respond, { internal::kUnavailable, {} });
      return;
    case StoreFault::limited:
      this->reply(respond, { internal::kTooManyRequests, {} });
      return;
    case StoreFault::malformed:
      this->reply(respond, { internal::kOk, R"({"items":[{"key":)" });
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
    this->reply(respond, { internal::kNotFound, {} });
  }
}

void
StoreStandin::list(const std::string& target,
                   const HttpServer::Respond& respond)
{
  const std::string prefix = internal::queryText(target, "prefix");
  const StoreAnswer page = this->data.list(
    prefix, internal::queryText(target, "after"), this->pageItems);
  this->reply(respond, page);
  if (this->afterPage && page.hasMore) {
    this->afterPage(prefix);
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
  if (!this->answerWatch(newWatch, false)) {
    this->watches.push_back(std::move(newWatch));
  }
}

bool
StoreStandin::answerWatch(const Watch& watch, bool isExpired)
{
  const auto answer = this->data.watch(watch.prefix, watch.after, isExpired);
  if (answer) {
    this->reply(watch.respond, *answer);
  }
  return answer.has_value();
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
