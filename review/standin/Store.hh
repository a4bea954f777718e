#ifndef REVIEW_STORE_HH
#define REVIEW_STORE_HH

#include "HttpServer.hh"
#include "Record.hh"

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// \brief Stand-in for the platform's metadata store.
///
/// Keys have revisions from one counter. Listings come in pages, which are not
/// a snapshot; watches continue from a revision and get 410 if the store
/// doesn't have it. The header Store-Era rises by one when the store comes back
/// from a copy.
class Store
{
public:
  struct Limits
  {
    std::size_t pageItems = 50;
    std::int64_t answerMs = 4;
    double readsPerSecond = 2000;
  };

  /// \brief State of the store at some time.
  struct Copy
  {
    std::uint64_t revision = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, std::uint64_t> revisions;
  };

  Store(EventLoop& loop, Record& record, const Address& address, Limits limits);

  /// \brief Writes a key.
  /// \returns the revision, or nothing if the store is away
  std::optional<std::uint64_t> put(const std::string& key,
                                   const std::string& value);
  /// \brief Deletes a key. Returns the same as put().
  std::optional<std::uint64_t> remove(const std::string& key);

  Copy copy() const { return this->state; }
  /// \brief Resets all connections and refuses new ones, until comeBack().
  void goAway();
  /// \brief Serves again, from a copy.
  void comeBack(const Copy& from);
  /// \brief Cuts all waiting watches.
  void cutWatches();
  bool isAway() const { return this->away; }
  std::uint64_t revision() const { return this->state.revision; }

  /// \brief Called after each answer of a page with the last key of the page;
  /// the answer has been computed and is not changed by the hook.
  std::function<void(const std::string& prefix, bool hasMore)> afterPage;

private:
  struct Event
  {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isGone = false;
  };
  struct Watch
  {
    std::string prefix;
    std::uint64_t after = 0;
    std::int64_t deadline = 0;
    Respond respond;
  };

  EventLoop& loop;
  Record& record;
  Limits limits;
  Copy state;
  std::vector<Event> history;
  std::list<Watch> watches;
  unsigned era = 1;
  bool away = false;
  double readTokens = 0;
  std::int64_t tokensAt = 0;
  HttpServer server;

  std::string headers() const;
  bool takeToken();
  void serve(const std::string& target, const Respond& respond);
  void answer(const std::string& target, const Respond& respond);
  void list(const std::string& target, const Respond& respond);
  void watch(const std::string& target, const Respond& respond);
  bool answerWatch(const Watch& watch);
  void answerWatches();
};

}

#endif
