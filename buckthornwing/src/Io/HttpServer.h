#ifndef BUCKTHORNWING_HTTP_SERVER_H
#define BUCKTHORNWING_HTTP_SERVER_H

#include "../Core/IpAddress.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>
#include <functional>
#include <string>

namespace buckthornwing {

/// \brief An answer to a GET request.
struct HttpReply
{
  unsigned status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::string etag; ///< left out if empty
};

/// \brief Serves GET requests, one for each connection.
class HttpServer
{
public:
  using Respond = std::function<void(HttpReply)>;
  /// \brief Called with the request's target; answers now or later.
  using Handler = std::function<void(const std::string& target, Respond)>;

  explicit HttpServer(boost::asio::io_context& context);

  /// \param step names the server in errors
  boost::leaf::result<void> open(const Endpoint& address,
                                 const std::string& step);

  void start(Handler handler);

  Endpoint localEndpoint() const;

  void close();

private:
  boost::asio::ip::tcp::acceptor acceptor;
  Handler handler;

  void accept();
};

/// \returns the value of a query parameter of a request target, or the
/// fallback if it is absent or no number.
std::uint64_t
queryNumber(const std::string& target,
            const std::string& name,
            std::uint64_t fallback);

}

#endif
