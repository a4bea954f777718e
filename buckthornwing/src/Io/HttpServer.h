#ifndef BUCKTHORNWING_HTTP_SERVER_H
#define BUCKTHORNWING_HTTP_SERVER_H

#include "../Core/IpAddress.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Response to a GET request.
struct HttpResponse
{
  unsigned status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::string etag;                            ///< no ETag header if empty
  std::map<std::string, std::string> fields{}; ///< further headers
};

/// \brief HTTP server for GET requests. Closes a connection after one response.
class HttpServer
{
public:
  /// \brief Sends the response to a request; called at most once.
  using Respond = std::function<void(HttpResponse)>;
  /// \brief Handles a request by its target (path and query). It may keep the
  /// Respond function and call it after it has returned.
  using Handler = std::function<void(const std::string& target, Respond)>;

  explicit HttpServer(boost::asio::io_context& context);

  /// \brief Binds the server to an address and listens.
  /// \param step the operation that an Error names, such as "bind HTTP socket"
  /// \returns an Error if the address can't be bound.
  boost::leaf::result<void> open(const Endpoint& address,
                                 const std::string& step);

  /// \brief Accepts connections from now on.
  void start(Handler handler);

  /// \returns the address that the server is bound to.
  Endpoint localEndpoint() const;

  /// \brief Accepts no more connections; open ones are still served.
  void close();

private:
  boost::asio::ip::tcp::acceptor acceptor;
  Handler handler;

  void accept();
};

/// \returns the value of a query parameter of a request target, as it stands
/// there; nothing if the parameter is absent.
std::optional<std::string_view>
queryText(std::string_view target, std::string_view name);

/// \returns the value of a numeric query parameter of a request target.
/// \param name of the parameter
/// \param fallback returned if the parameter is absent or isn't a number
std::uint64_t
queryNumber(const std::string& target,
            const std::string& name,
            std::uint64_t fallback);

}

#endif
