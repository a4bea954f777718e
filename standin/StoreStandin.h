#ifndef BUCKTHORNWING_STORE_STANDIN_H
#define BUCKTHORNWING_STORE_STANDIN_H

#include <src/Io/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <string>

namespace buckthornwing::standin {

/// \brief How the store answers at present.
enum class StoreMood
{
  well,
  busy,      ///< 503
  limited,   ///< 429
  silent,    ///< takes calls and never answers
  malformed, ///< answers break off in the middle
};

/// \brief A small stand-in for the platform's metadata store: keys with
/// revisions, listings in pages, watches, and a history that can be dropped.
class StoreStandin
{
public:
  /// \param pageItems items in one answer to a listing
  StoreStandin(boost::asio::io_context& context, std::size_t pageItems);

  boost::leaf::result<void> start(const Endpoint& address);
  Endpoint endpoint() const { return this->server.localEndpoint(); }

  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

  /// \brief Forgets what happened up to now: older watches get 410.
  void dropHistory();

  void setMood(StoreMood newMood) { this->mood = newMood; }
  std::uint64_t calls() const { return this->callCount; }

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    bool isGone = false;
  };

  struct Watch
  {
    std::string prefix;
    std::uint64_t after = 0;
    std::chrono::steady_clock::time_point until;
    HttpServer::Respond respond;
  };

  HttpServer server;
  boost::asio::steady_timer timer;
  std::size_t pageItems;
  std::map<std::string, Item> items;
  std::list<Watch> watches;
  std::list<HttpServer::Respond> unanswered;
  std::uint64_t revision = 1;
  std::uint64_t droppedRevision = 0;
  std::uint64_t callCount = 0;
  StoreMood mood = StoreMood::well;

  void serve(const std::string& target, const HttpServer::Respond& respond);
  void list(const std::string& target, const HttpServer::Respond& respond);
  void watch(const std::string& target, const HttpServer::Respond& respond);
  bool answerWatch(const Watch& watch, bool isOver);
  void answerWatches();
  void look();
};

}

#endif
