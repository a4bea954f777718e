#include "HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace buckthornwing {
namespace internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// \brief One exchange; keeps itself alive until it is done.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  HttpExchange(boost::asio::io_context& context,
               std::size_t mostBytes,
               std::function<void(HttpResult)> done)
    : stream(context)
    , done(std::move(done))
  {
    this->parser.body_limit(mostBytes);
  }

  void start(const Endpoint& server,
             const std::string& path,
             MilliDuration timeout)
  {
    this->request.method(http::verb::get);
    this->request.target(path);
    this->request.version(11);
    this->request.set(http::field::host, formatEndpoint(server));
    this->request.keep_alive(false);
    this->stream.expires_after(std::chrono::milliseconds(timeout.ms));
    const auto address =
      boost::asio::ip::make_address(formatIpAddress(server.address));
    this->stream.async_connect(
      tcp::endpoint(address, server.port),
      [self = this->shared_from_this()](beast::error_code code) {
        self->onConnected(code);
      });
  }

private:
  beast::tcp_stream stream;
  std::function<void(HttpResult)> done;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  beast::flat_buffer buffer;
  bool connected = false;

  void fail(const char* step, const beast::error_code& code)
  {
    HttpResult result;
    result.failure = std::string(step) + ": " + code.message();
    result.connected = this->connected;
    result.refused = code == boost::asio::error::connection_refused;
    this->done(std::move(result));
  }

  void onConnected(const beast::error_code& code)
  {
    if (code) {
      this->fail("connect", code);
      return;
    }
    this->connected = true;
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
    http::async_read(
      this->stream,
      this->buffer,
      this->parser,
      [self = this->shared_from_this()](beast::error_code error, std::size_t) {
        self->onReceived(error);
      });
  }

  void onReceived(const beast::error_code& code)
  {
    if (code) {
      this->fail("receive answer", code);
      return;
    }
    auto& response = this->parser.get();
    HttpResult result;
    result.status = response.result_int();
    result.connected = true;
    for (const auto& field : response) {
      result.fields.emplace(field.name_string(), field.value());
    }
    result.body = std::move(response.body());
    this->done(std::move(result));
  }
};

}

void
httpGet(boost::asio::io_context& context,
        const Endpoint& server,
        const std::string& path,
        MilliDuration timeout,
        std::size_t mostBytes,
        std::function<void(HttpResult)> done)
{
  std::make_shared<internal::HttpExchange>(context, mostBytes, std::move(done))
    ->start(server, path, timeout);
}

}
