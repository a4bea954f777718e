#ifndef BUCKTHORNWING_STORE_STANDIN_H
#define BUCKTHORNWING_STORE_STANDIN_H

#include <src/Io/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <string>

namespace buckthornwing::standin {

/// \brief The way in which the store responds to requests.
enum class StoreFault
{
  none,      ///< without faults
  busy,      ///< status 503
  limited,   ///< status 429
  silent,    ///< accepts requests and never responds
  malformed, ///< responds with truncated JSON
};

/// \brief Stand-in for the platform's metadata store: an HTTP server with keys
/// that have revisions, paged listings, watches, and a history of changes that
/// can be dropped. It may be replaced by an older copy of itself.
class StoreStandin
{
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t createdRevision = 0;
    bool isDeleted = false;
  };

public:
  /// \brief The store's data at one time.
  struct Copy
  {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
  };

  /// \param pageItems largest number of items in a page of a listing
  StoreStandin(boost::asio::io_context& context, std::size_t pageItems);

  boost::leaf::result<void> start(const Endpoint& address);
  Endpoint endpoint() const { return this->server.localEndpoint(); }

  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

  /// \brief Drops the history of changes: a watch that continues from an
  /// earlier revision is answered with status 410.
  void dropHistory();

  /// \returns the present data.
  Copy copy() const { return { this->items, this->revision }; }
  /// \brief Replaces the data by an older copy: pending watches are cut,
  /// revisions after the copy's are given out again, and the era increases.
  void restore(const Copy& from);

  void setFault(StoreFault newFault) { this->fault = newFault; }
  /// \brief Sets a function that is called after the response to each page of a
  /// listing.
  void setAfterPage(std::function<void()> function)
  {
    this->afterPage = std::move(function);
  }
  /// \returns the number of requests received.
  std::uint64_t calls() const { return this->callCount; }

private:
  struct Watch
  {
    std::string prefix;
    std::uint64_t after = 0;
    std::chrono::steady_clock::time_point deadline;
    HttpServer::Respond respond;
  };

  HttpServer server;
  boost::asio::steady_timer timer;
  std::size_t pageItems;
  std::map<std::string, Item> items;
  std::list<Watch> watches;
  std::list<HttpServer::Respond> ignoredRequests;
  std::uint64_t revision = 1;
  std::uint64_t droppedRevision = 0; ///< watches from before it get 410
  std::uint64_t era = 1;
  std::uint64_t callCount = 0;
  StoreFault fault = StoreFault::none;
  std::function<void()> afterPage;

  /// \brief Sends a response with the header of the era.
  void reply(const HttpServer::Respond& respond, HttpResponse response) const;
  void serve(const std::string& target, const HttpServer::Respond& respond);
  void list(const std::string& target, const HttpServer::Respond& respond);
  void watch(const std::string& target, const HttpServer::Respond& respond);
  /// \brief Responds to a watch if there are events or it has expired.
  /// \returns whether it responded
  bool answerWatch(const Watch& watch, bool isExpired);
  void answerWatches();
  void poll();
};

}

#endif
