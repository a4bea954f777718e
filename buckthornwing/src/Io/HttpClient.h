#ifndef BUCKTHORNWING_HTTP_CLIENT_H
#define BUCKTHORNWING_HTTP_CLIENT_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

namespace buckthornwing {

/// \brief What a GET request came to.
struct HttpResult
{
  unsigned status = 0; ///< 0 if there was no answer
  std::string body;
  std::map<std::string, std::string> fields; ///< of the answer's head
  bool connected = false;                    ///< the server took the connection
  bool refused = false; ///< its machine answered that nothing listens
  MilliDuration
    answerTook{};      ///< from the first bytes of the answer to the last
  std::string failure; ///< the step and cause if there was no answer
};

/// \brief Bytes of an answer that count as progress. A server that sends fewer
/// in HttpLimits::progressWithin is as good as silent.
inline constexpr std::size_t kHttpProgressBytes = 1024;

/// \brief Bounds of one GET exchange.
struct HttpLimits
{
  MilliDuration answerWithin{};   ///< from the start to the first bytes back
  MilliDuration progressWithin{}; ///< for each further kHttpProgressBytes
  MilliDuration wholeWithin{};    ///< for everything
  std::size_t mostBytes = 0;      ///< of the body; a larger one is a failure
};

/// \brief What the caller of a GET exchange is told of.
struct HttpHooks
{
  std::function<void()> connected;      ///< at once when the server took the
                                        ///< connection; may be empty
  std::function<void(HttpResult)> done; ///< once, later
};

/// \brief Starts a GET request.
void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        const HttpLimits& limits,
        HttpHooks hooks);

/// \brief Starts a GET request; \a done is called once, later.
void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        const HttpLimits& limits,
        std::function<void(HttpResult)> done);

/// \brief Starts a GET request with one timeout for the whole exchange.
/// \param mostBytes of the answer's body; a larger one is a failure
void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        MilliDuration timeout,
        std::size_t mostBytes,
        std::function<void(HttpResult)> done);

}

#endif
