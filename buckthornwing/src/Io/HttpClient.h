#ifndef BUCKTHORNWING_HTTP_CLIENT_H
#define BUCKTHORNWING_HTTP_CLIENT_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/string.hpp>
#include <functional>
#include <map>
#include <string>

namespace buckthornwing {

/// \brief Headers of a response. Names are compared without regard to case.
using HttpFields = std::map<std::string, std::string, boost::beast::iless>;

/// \brief Result of a GET request.
struct HttpResult
{
  unsigned status = 0; ///< HTTP status; 0 without a complete response
  std::string body;
  HttpFields fields;            ///< response headers
  bool connected = false;       ///< the TCP connection was established
  bool refused = false;         ///< the TCP connection was refused
  bool cutOff = false;          ///< the response began and did not end
  bool tooLarge = false;        ///< it exceeds HttpLimits::maxBodyBytes
  MilliDuration transferTime{}; ///< from the response's first bytes to its last
  std::string failure;          ///< "step: cause" if the status is 0
};

/// \brief Number of response bytes that count as progress. A request fails if
/// fewer arrive within HttpLimits::progressTimeout.
inline constexpr std::size_t kHttpProgressBytes = 1024;

/// \brief Timeouts and the size limit of a GET request.
struct HttpLimits
{
  MilliDuration responseTimeout{}; ///< from the start to the first bytes
  MilliDuration progressTimeout{}; ///< for each kHttpProgressBytes after them
  MilliDuration totalTimeout{};    ///< from the start to the complete response
  std::size_t maxBodyBytes = 0;    ///< of the body; a larger body is an error
};

/// \brief Callbacks of a GET request.
struct HttpHooks
{
  /// Called when the TCP connection is established; may be empty.
  std::function<void()> connected;
  /// Called exactly once, never from httpGet() itself.
  std::function<void(HttpResult)> done;
};

/// \brief Starts a GET request over a new connection.
/// \param path path and query of the request target
void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        const HttpLimits& limits,
        HttpHooks hooks);

/// \brief Starts a GET request over a new connection.
/// \param done called exactly once, never from httpGet() itself
void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        const HttpLimits& limits,
        std::function<void(HttpResult)> done);

/// \brief Starts a GET request over a new connection.
/// \param timeout from the start to the complete response
/// \param maxBodyBytes of the response body; a larger body is an error
/// \param done called exactly once, never from httpGet() itself
void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        MilliDuration timeout,
        std::size_t maxBodyBytes,
        std::function<void(HttpResult)> done);

}

#endif
