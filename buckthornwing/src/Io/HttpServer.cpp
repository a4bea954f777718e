#include "HttpServer.h"

#include "Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <memory>

namespace buckthornwing {
namespace internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// \brief Time limit of a connection from its accept to the end of its
/// response. Long polls may use most of it.
constexpr std::chrono::seconds kConnectionTimeout{ 90 };

/// \brief One accepted connection. Its pending asynchronous operations and the
/// Respond function keep it alive.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(tcp::socket socket, const HttpServer::Handler& handler)
    : stream(std::move(socket))
    , handler(handler)
  {
  }

  void start()
  {
    this->stream.expires_after(kConnectionTimeout);
    http::async_read(
      this->stream,
      this->buffer,
      this->request,
      [self = this->shared_from_this()](beast::error_code code, std::size_t) {
        if (!code) {
          self->onRequest();
        }
      });
  }

private:
  beast::tcp_stream stream;
  HttpServer::Handler handler;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;

  void onRequest()
  {
    if (this->request.method() != http::verb::get) {
      this->respond(
        HttpResponse{ 405, "text/plain", "only GET is served\n", {} });
      return;
    }
    this->handler(std::string(this->request.target()),
                  [self = this->shared_from_this()](HttpResponse reply) {
                    self->respond(std::move(reply));
                  });
  }

  void respond(HttpResponse reply)
  {
    this->response.version(11);
    this->response.keep_alive(false);
    this->response.result(reply.status);
    this->response.set(http::field::content_type, reply.contentType);
    if (!reply.etag.empty()) {
      this->response.set(http::field::etag, reply.etag);
    }
    for (const auto& [name, value] : reply.fields) {
      this->response.set(name, value);
    }
    this->response.body() = std::move(reply.body);
    this->response.prepare_payload();
    http::async_write(
      this->stream,
      this->response,
      [self = this->shared_from_this()](beast::error_code, std::size_t) {
        beast::error_code ignored;
        self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      });
  }
};

}

HttpServer::HttpServer(boost::asio::io_context& context)
  : acceptor(context)
{
}

boost::leaf::result<void>
HttpServer::open(const Endpoint& address, const std::string& step)
{
  const internal::tcp::endpoint endpoint(
    boost::asio::ip::make_address(formatIpAddress(address.address)),
    address.port);
  boost::system::error_code code;
  this->acceptor.open(endpoint.protocol(), code);
  if (!code) {
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                              code);
  }
  if (!code) {
    this->acceptor.bind(endpoint, code);
  }
  if (!code) {
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          code);
  }
  if (code) {
    return boost::leaf::new_error(
      Error{ step, formatEndpoint(address), code.message() });
  }
  return {};
}

void
HttpServer::start(Handler newHandler)
{
  this->handler = std::move(newHandler);
  this->accept();
}

void
HttpServer::accept()
{
  this->acceptor.async_accept([this](const boost::system::error_code& code,
                                     internal::tcp::socket socket) {
    if (!this->acceptor.is_open()) {
      return;
    }
    if (!code) {
      std::make_shared<internal::HttpConnection>(std::move(socket),
                                                 this->handler)
        ->start();
    }
    this->accept();
  });
}

Endpoint
HttpServer::localEndpoint() const
{
  boost::system::error_code code;
  const auto endpoint = this->acceptor.local_endpoint(code);
  const auto address = parseIpAddress(endpoint.address().to_string());
  return Endpoint{ address.value_or(IpAddress{}), endpoint.port() };
}

void
HttpServer::close()
{
  boost::system::error_code code;
  this->acceptor.close(code);
}

std::optional<std::string_view>
queryText(std::string_view target, std::string_view name)
{
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::size_t start = at + 1;
    at = target.find('&', start);
    const std::string_view parameter = target.substr(start, at - start);
    if (parameter.starts_with(name) &&
        parameter.substr(name.size()).starts_with('=')) {
      return parameter.substr(name.size() + 1);
    }
  }
  return std::nullopt;
}

std::uint64_t
queryNumber(const std::string& target,
            const std::string& name,
            std::uint64_t fallback)
{
  const auto text = queryText(target, name);
  if (!text) {
    return fallback;
  }
  std::uint64_t value = 0;
  const auto [stop, code] =
    std::from_chars(text->data(), text->data() + text->size(), value);
  return code == std::errc{} && stop != text->data() ? value : fallback;
}

}
