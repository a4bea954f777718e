#ifndef REVIEW_HTTP_SERVER_HH
#define REVIEW_HTTP_SERVER_HH

#include "EventLoop.hh"
#include "Net.hh"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

/// \brief Answers one request; may be called later, and once only.
using Respond = std::function<
  void(int status, const std::string& headers, const std::string& body)>;

/// \brief Minimal HTTP/1.1 server for GET requests without a body.
class HttpServer
{
public:
  using Handler =
    std::function<void(const std::string& target, const Respond& respond)>;

  HttpServer(EventLoop& loop, const Address& address, Handler handler)
    : loop(loop)
    , address(address)
    , handler(std::move(handler))
  {
    this->open();
  }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer() { this->shutDown(); }

  void open()
  {
    this->listener = bindSocket(SOCK_STREAM, this->address);
    if (this->listener < 0) {
      throw std::runtime_error("can't bind " + formatAddress(this->address));
    }
    this->loop.watch(this->listener, [this] { this->accept(); });
  }

  /// \brief Resets all connections and refuses new ones.
  void shutDown()
  {
    if (this->listener >= 0) {
      this->loop.unwatch(this->listener);
      close(this->listener);
      this->listener = -1;
    }
    while (!this->connections.empty()) {
      const int descriptor = this->connections.begin()->first;
      this->loop.unwatch(descriptor);
      this->connections.erase(descriptor);
      resetConnection(descriptor);
    }
  }

private:
  struct Connection
  {
    std::string input;
    bool isAnswering = false;
  };

  EventLoop& loop;
  Address address;
  Handler handler;
  int listener = -1;
  std::map<int, std::shared_ptr<Connection>> connections;

  void accept()
  {
    const int descriptor = ::accept(this->listener, nullptr, nullptr);
    if (descriptor < 0) {
      return;
    }
    setNonBlocking(descriptor);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    this->connections[descriptor] = std::make_shared<Connection>();
    this->loop.watch(descriptor,
                     [this, descriptor] { this->read(descriptor); });
  }

  void drop(int descriptor)
  {
    this->loop.unwatch(descriptor);
    this->connections.erase(descriptor);
    close(descriptor);
  }

  void read(int descriptor)
  {
    char buffer[4096];
    const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
    if (size <= 0) {
      this->drop(descriptor);
      return;
    }
    this->connections[descriptor]->input.append(buffer,
                                                static_cast<std::size_t>(size));
    this->serveNext(descriptor);
  }

  void serveNext(int descriptor)
  {
    const std::shared_ptr<Connection> connection =
      this->connections[descriptor];
    const std::size_t end = connection->input.find("\r\n\r\n");
    if (end == std::string::npos || connection->isAnswering) {
      return;
    }
    const std::size_t from = connection->input.find(' ') + 1;
    const std::size_t to = connection->input.find(' ', from);
    const std::string target = connection->input.substr(from, to - from);
    connection->input.erase(0, end + 4);
    connection->isAnswering = true;
    const std::weak_ptr<Connection> weak = connection;
    this->handler(target,
                  [this, descriptor, weak](int status,
                                           const std::string& headers,
                                           const std::string& body) {
                    const auto still = weak.lock();
                    if (!still) {
                      return;
                    }
                    still->isAnswering = false;
                    this->write(descriptor, status, headers, body);
                    this->serveNext(descriptor);
                  });
  }

  void write(int descriptor,
             int status,
             const std::string& headers,
             const std::string& body)
  {
    const std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                             headers +
                             "Content-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t size =
        send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (size > 0) {
        sent += static_cast<std::size_t>(size);
      } else if (errno == EAGAIN) {
        pollfd writable{ descriptor, POLLOUT, 0 };
        poll(&writable, 1, 100);
      } else {
        return;
      }
    }
  }
};

}

#endif
