#include "Store.hh"

namespace review {
namespace {

std::string
encodeBase64(const std::string& bytes)
{
  static const char* const digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte =
        i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      word = word << 8 | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? digits[word >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

std::string
queryText(const std::string& target, const std::string& name)
{
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
    at = end;
  }
  return {};
}

std::uint64_t
queryNumber(const std::string& target, const std::string& name)
{
  const std::string text = queryText(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

}

Store::Store(EventLoop& loop,
             Record& record,
             const Address& address,
             Limits limits)
  : loop(loop)
  , record(record)
  , limits(limits)
  , readTokens(limits.readsPerSecond)
  , server(loop,
           address,
           [this](const std::string& target, const Respond& respond) {
             this->serve(target, respond);
           })
{
  this->state.revision = 1;
  this->loop.every(10, [this] { this->answerWatches(); });
}

std::optional<std::uint64_t>
Store::put(const std::string& key, const std::string& value)
{
  if (this->away) {
    return std::nullopt;
  }
  const std::uint64_t revision = ++this->state.revision;
  this->state.values[key] = value;
  this->state.revisions[key] = revision;
  this->history.push_back({ key, value, revision, false });
  this->record.line("store: revision " + std::to_string(revision) + " " + key +
                    " = " + value.substr(0, 160));
  this->answerWatches();
  return revision;
}

std::optional<std::uint64_t>
Store::remove(const std::string& key)
{
  if (this->away) {
    return std::nullopt;
  }
  const std::uint64_t revision = ++this->state.revision;
  this->state.values.erase(key);
  this->state.revisions.erase(key);
  this->history.push_back({ key, {}, revision, true });
  this->record.line("store: revision " + std::to_string(revision) + " " + key +
                    " removed");
  this->answerWatches();
  return revision;
}

void
Store::goAway()
{
  this->record.line("store: away; its revision is " +
                    std::to_string(this->state.revision));
  this->away = true;
  this->watches.clear();
  this->server.shutDown();
}

void
Store::comeBack(const Copy& from)
{
  this->state = from;
  std::erase_if(this->history, [&](const Event& event) {
    return event.revision > from.revision;
  });
  ++this->era;
  this->away = false;
  this->server.open();
  this->record.line("store: back from a copy at revision " +
                    std::to_string(from.revision) + ", Store-Era " +
                    std::to_string(this->era));
}

void
Store::cutWatches()
{
  this->record.line("store: cuts " + std::to_string(this->watches.size()) +
                    " waiting watches");
  this->watches.clear();
  this->server.shutDown();
  this->server.open();
}

std::string
Store::headers() const
{
  return "Store-Era: " + std::to_string(this->era) + "\r\n";
}

bool
Store::takeToken()
{
  const std::int64_t now = this->loop.now();
  constexpr double kMsPerSecond = 1000.0;
  this->readTokens =
    std::min(this->limits.readsPerSecond,
             this->readTokens + static_cast<double>(now - this->tokensAt) *
                                  this->limits.readsPerSecond / kMsPerSecond);
  this->tokensAt = now;
  if (this->readTokens < 1) {
    return false;
  }
  this->readTokens -= 1;
  return true;
}

void
Store::serve(const std::string& target, const Respond& respond)
{
  this->loop.after(this->limits.answerMs, [this, target, respond] {
    if (!this->away) {
      this->answer(target, respond);
    }
  });
}

void
Store::answer(const std::string& target, const Respond& respond)
{
  if (!this->takeToken()) {
    respond(429, this->headers(), "{}");
  } else if (target.starts_with("/-/kv-range")) {
    this->list(target, respond);
  } else if (target.starts_with("/-/kv-watch")) {
    this->watch(target, respond);
  } else {
    respond(404, this->headers(), "{}");
  }
}

void
Store::list(const std::string& target, const Respond& respond)
{
  const std::string prefix = queryText(target, "prefix");
  const std::string after = queryText(target, "after");
  std::string items;
  std::size_t count = 0;
  bool hasMore = false;
  for (const auto& [key, value] : this->state.values) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (count == this->limits.pageItems) {
      hasMore = true;
      break;
    }
    const std::string revision = std::to_string(this->state.revisions.at(key));
    items += (count++ == 0 ? "" : ",");
    items += R"({"key":")" + key + R"(","value":")" + encodeBase64(value) +
             R"(","revision":)" + revision + R"(,"created_rev":)" + revision +
             R"(,"lease":0})";
  }
  respond(200,
          this->headers(),
          R"({"items":[)" + items + R"(],"has_more":)" +
            (hasMore ? "true" : "false") + R"(,"as_of":)" +
            std::to_string(this->state.revision) + "}");
  if (this->afterPage) {
    this->afterPage(prefix, hasMore);
  }
}

void
Store::watch(const std::string& target, const Respond& respond)
{
  const Watch added{ queryText(target, "prefix"),
                     queryNumber(target, "after"),
                     this->loop.now() + static_cast<std::int64_t>(
                                          queryNumber(target, "wait_ms")),
                     respond };
  if (added.after > this->state.revision) {
    respond(410, this->headers(), "{}");
  } else if (!this->answerWatch(added)) {
    this->watches.push_back(added);
  }
}

bool
Store::answerWatch(const Watch& watch)
{
  std::string events;
  for (const Event& event : this->history) {
    if (event.revision <= watch.after || !event.key.starts_with(watch.prefix)) {
      continue;
    }
    const std::string revision = std::to_string(event.revision);
    events += events.empty() ? "" : ",";
    events += R"({"key":")" + event.key + R"(","revision":)" + revision;
    events += event.isGone
                ? R"(,"is_gone":true})"
                : R"(,"value":")" + encodeBase64(event.value) +
                    R"(","created_rev":)" + revision + R"(,"lease":0})";
  }
  if (events.empty() && this->loop.now() < watch.deadline) {
    return false;
  }
  watch.respond(200,
                this->headers(),
                R"({"events":[)" + events + R"(],"as_of":)" +
                  std::to_string(this->state.revision) + "}");
  return true;
}

void
Store::answerWatches()
{
  std::list<Watch> pending;
  pending.swap(this->watches);
  for (const Watch& each : pending) {
    if (!this->answerWatch(each)) {
      this->watches.push_back(each);
    }
  }
}

}
