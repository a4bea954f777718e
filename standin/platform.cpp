/// \file
/// \brief Stand-in for the platform's configuration service: serves a
/// configuration document and its list of instances. The document is read again
/// whenever its file is replaced.

#include <Core>
#include <src/Io/DaemonSettings.h>
#include <src/Io/HttpServer.h>
#include <src/Io/RunMain.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <iostream>
#include <list>
#include <tclap/CmdLine.h>

namespace buckthornwing {
namespace internal {

/// \brief Period at which the file and the pending watches are checked.
constexpr std::chrono::milliseconds kPollPeriod{ 50 };
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kNotModified = 304;
constexpr unsigned kNotFound = 404;

/// \brief A pending request for a revision newer than a known one.
struct Watch
{
  std::uint64_t after = 0;
  std::chrono::steady_clock::time_point deadline;
  HttpServer::Respond respond;
};

/// \brief HTTP server of the configuration service.
class Platform
{
public:
  Platform(boost::asio::io_context& context, std::string file, double limit)
    : server(context)
    , timer(context)
    , file(std::move(file))
  {
    this->callLimiter.configure(limit, limit);
  }

  boost::leaf::result<void> start(const Endpoint& address)
  {
    BOOST_LEAF_CHECK(this->server.open(address, "bind configuration service"));
    this->server.start(
      [this](const std::string& target, const HttpServer::Respond& respond) {
        this->serve(target, respond);
      });
    this->poll();
    return {};
  }

private:
  HttpServer server;
  boost::asio::steady_timer timer;
  std::string file;
  std::string text;
  std::uint64_t revision = 0;
  TokenBucket callLimiter;
  std::list<Watch> watches;

  MilliTime now() const
  {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return MilliTime{
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count()
    };
  }

  HttpResponse document() const
  {
    return { 200,
             "application/json",
             this->text,
             "\"" + std::to_string(this->revision) + "\"" };
  }

  void readDocument()
  {
    const auto read = readFile(this->file);
    if (!read || read.value() == this->text) {
      return;
    }
    boost::json::error_code code;
    const boost::json::value value = boost::json::parse(read.value(), code);
    if (code || !value.is_object()) {
      return;
    }
    const auto* number = value.get_object().if_contains("revision");
    if (number != nullptr && number->is_int64()) {
      this->text = read.value();
      this->revision = static_cast<std::uint64_t>(number->get_int64());
    }
  }

  void poll()
  {
    this->readDocument();
    const auto time = std::chrono::steady_clock::now();
    this->watches.remove_if([&](const Watch& watch) {
      if (this->revision > watch.after) {
        watch.respond(this->document());
        return true;
      }
      if (time >= watch.deadline) {
        watch.respond({ kNotModified, "application/json", "", "" });
        return true;
      }
      return false;
    });
    this->timer.expires_after(kPollPeriod);
    this->timer.async_wait([this](const boost::system::error_code& code) {
      if (!code) {
        this->poll();
      }
    });
  }

  void serve(const std::string& target, const HttpServer::Respond& respond)
  {
    if (!this->callLimiter.take(1, this->now())) {
      respond({ kTooManyRequests, "text/plain", "over the limit\n", "" });
    } else if (target.starts_with("/v1/config")) {
      this->serveDocument(target, respond);
    } else if (target == "/v1/instances") {
      this->serveInstances(respond);
    } else {
      respond({ kNotFound, "text/plain", "not found\n", "" });
    }
  }

  void serveDocument(const std::string& target,
                     const HttpServer::Respond& respond)
  {
    const std::uint64_t after = queryNumber(target, "after", 0);
    const std::uint64_t wait = queryNumber(target, "wait_ms", 0);
    if (this->revision > after || wait == 0) {
      respond(this->document());
      return;
    }
    this->watches.push_back(
      { after,
        std::chrono::steady_clock::now() + std::chrono::milliseconds(wait),
        respond });
  }

  void serveInstances(const HttpServer::Respond& respond)
  {
    boost::json::error_code code;
    const boost::json::value value = boost::json::parse(this->text, code);
    const auto* list = code || !value.is_object()
                         ? nullptr
                         : value.get_object().if_contains("instances");
    respond({ 200,
              "application/json",
              list == nullptr ? "[]" : boost::json::serialize(*list),
              "" });
  }
};

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  TCLAP::CmdLine command("Stand-in for the configuration service", ' ', "0.1");
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address:port", true, "", "ENDPOINT", command);
  TCLAP::ValueArg<std::string> file(
    "", "document", "configuration document", true, "", "FILE", command);
  TCLAP::ValueArg<double> limit(
    "", "limit", "requests per second", false, 2000, "N", command);
  command.parse(argc, argv);
  const auto address = parseEndpoint(listen.getValue());
  if (!address) {
    std::cerr << "standin-platform: --listen: expected address:port\n";
    return kFailureExit;
  }
  boost::asio::io_context context;
  internal::Platform platform(context, file.getValue(), limit.getValue());
  return runMain("standin-platform", [&]() -> boost::leaf::result<int> {
    BOOST_LEAF_CHECK(platform.start(*address));
    context.run();
    return 0;
  });
}
