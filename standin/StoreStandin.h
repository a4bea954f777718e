#ifndef BUCKTHORNWING_STORE_STANDIN_H
#define BUCKTHORNWING_STORE_STANDIN_H

#include "StoreData.h"

#include <src/Io/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
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

/// \brief Stand-in for the platform's metadata store: an HTTP server in front
/// of StoreData.
class StoreStandin
{
public:
  /// \param pageItems largest number of items in a page of a listing
  StoreStandin(boost::asio::io_context& context, std::size_t pageItems);

  boost::leaf::result<void> start(const Endpoint& address);
  Endpoint endpoint() const { return this->server.localEndpoint(); }

  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

  /// \brief Drops the history of changes, see StoreData::dropHistory().
  void dropHistory() { this->data.dropHistory(); }

  /// \returns the present data.
  StoreData::Copy copy() const { return this->data.copy(); }
  /// \brief Replaces the data by an older copy, and cuts pending watches.
  void restore(const StoreData::Copy& from);
  /// \returns the value of a key; nothing if there is none.
  std::optional<std::string> find(const std::string& key) const
  {
    return this->data.find(key);
  }

  /// \returns the keys with a prefix.
  std::vector<std::string> keys(const std::string& prefix) const
  {
    return this->data.keys(prefix);
  }

  void setFault(StoreFault newFault) { this->fault = newFault; }
  /// \brief Sets a function that is called with the prefix after the response
  /// to each page of a listing that is followed by another one.
  void setAfterPage(std::function<void(const std::string&)> function)
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
  StoreData data;
  std::list<Watch> watches;
  std::list<HttpServer::Respond> ignoredRequests;
  std::uint64_t callCount = 0;
  StoreFault fault = StoreFault::none;
  std::function<void(const std::string&)> afterPage;

  /// \brief Sends a response with the header of the era.
  void reply(const HttpServer::Respond& respond,
             const StoreAnswer& answer) const;
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
