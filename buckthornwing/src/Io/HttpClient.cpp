#include "HttpClient.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>

namespace buckthornwing {
namespace internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// \brief One GET request and its response. Its pending asynchronous
/// operations keep it alive.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  HttpExchange(boost::asio::io_context& context,
               const HttpLimits& limits,
               HttpHooks hooks)
    : stream(context)
    , limits(limits)
    , hooks(std::move(hooks))
  {
    this->parser.body_limit(limits.maxBodyBytes);
  }

  void start(const Endpoint& server, const std::string& path)
  {
    this->request.method(http::verb::get);
    this->request.target(path);
    this->request.version(11);
    this->request.set(http::field::host, formatEndpoint(server));
    this->request.keep_alive(false);
    this->totalDeadline = Clock::now() + toChrono(this->limits.totalTimeout);
    this->progressDeadline =
      Clock::now() + toChrono(this->limits.responseTimeout);
    this->updateDeadline();
    const auto address =
      boost::asio::ip::make_address(formatIpAddress(server.address));
    this->stream.async_connect(
      tcp::endpoint(address, server.port),
      [self = this->shared_from_this()](beast::error_code code) {
        self->onConnected(code);
      });
  }

private:
  using Clock = std::chrono::steady_clock;

  beast::tcp_stream stream;
  HttpLimits limits;
  HttpHooks hooks;
  Clock::time_point totalDeadline;
  Clock::time_point progressDeadline;
  Clock::time_point responseStartedAt; ///< when the first bytes arrived
  std::size_t newBytes = 0; ///< response bytes since progressDeadline was set
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  beast::flat_buffer buffer;
  bool connected = false;
  bool responseStarted = false; ///< whether any response bytes have arrived

  static std::chrono::milliseconds toChrono(MilliDuration span)
  {
    return std::chrono::milliseconds(span.ms);
  }

  /// \brief Sets the stream's timeout to the earlier of the two deadlines.
  void updateDeadline()
  {
    this->stream.expires_at(
      std::min(this->progressDeadline, this->totalDeadline));
  }

  void fail(const char* step, const beast::error_code& code)
  {
    HttpResult result;
    result.failure = std::string(step) + ": " + code.message();
    result.connected = this->connected;
    result.refused = code == boost::asio::error::connection_refused;
    result.tooLarge = code == http::error::body_limit;
    result.cutOff = this->responseStarted && !result.tooLarge;
    this->hooks.done(std::move(result));
  }

  void onConnected(const beast::error_code& code)
  {
    if (code) {
      this->fail("connect", code);
      return;
    }
    this->connected = true;
    if (this->hooks.connected) {
      this->hooks.connected();
    }
    http::async_write(
      this->stream,
      this->request,
      [self = this->shared_from_this()](beast::error_code error, std::size_t) {
        self->onSent(error);
      });
  }

  void onSent(const beast::error_code& code)
  {
    if (code) {
      this->fail("send request", code);
      return;
    }
    this->receive();
  }

  void receive()
  {
    http::async_read_some(this->stream,
                          this->buffer,
                          this->parser,
                          [self = this->shared_from_this()](
                            beast::error_code error, std::size_t size) {
                            self->onReceived(error, size);
                          });
  }

  /// \brief Extends the progress deadline after the first response bytes and
  /// after every further kHttpProgressBytes.
  /// \param size bytes received by the last read operation
  void recordProgress(std::size_t size)
  {
    const bool isFirst = !this->responseStarted;
    this->newBytes += size;
    if (isFirst) {
      this->responseStartedAt = Clock::now();
    }
    if (isFirst || this->newBytes >= kHttpProgressBytes) {
      this->responseStarted = true;
      this->newBytes = 0;
      this->progressDeadline =
        Clock::now() + toChrono(this->limits.progressTimeout);
    }
  }

  void onReceived(const beast::error_code& code, std::size_t size)
  {
    if (code) {
      this->fail("receive answer", code);
      return;
    }
    if (!this->parser.is_done()) {
      this->recordProgress(size);
      this->updateDeadline();
      this->receive();
      return;
    }
    this->finish();
  }

  void finish()
  {
    auto& response = this->parser.get();
    HttpResult result;
    result.status = response.result_int();
    result.connected = true;
    if (this->responseStarted) {
      const auto took = Clock::now() - this->responseStartedAt;
      result.transferTime.ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    }
    for (const auto& field : response) {
      result.fields.emplace(field.name_string(), field.value());
    }
    result.body = std::move(response.body());
    this->hooks.done(std::move(result));
  }
};

}

void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        const HttpLimits& limits,
        HttpHooks hooks)
{
  std::make_shared<internal::HttpExchange>(context, limits, std::move(hooks))
    ->start(server, path);
}

void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        const HttpLimits& limits,
        std::function<void(HttpResult)> done)
{
  httpGet(context, server, path, limits, HttpHooks{ {}, std::move(done) });
}

void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        MilliDuration timeout,
        std::size_t maxBodyBytes,
        std::function<void(HttpResult)> done)
{
  httpGet(context,
          server,
          path,
          HttpLimits{ timeout, timeout, timeout, maxBodyBytes },
          std::move(done));
}

}
