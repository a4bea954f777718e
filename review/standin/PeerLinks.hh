#ifndef REVIEW_PEER_LINKS_HH
#define REVIEW_PEER_LINKS_HH

#include "EventLoop.hh"
#include "Net.hh"
#include "Record.hh"

#include <set>
#include <vector>

namespace review {

/// \brief Proxies for the datagrams between machines, one for each receiver.
///
/// A machine's process is bound to an address of its own; the others send to
/// the proxy's address. So datagrams of one sender can be dropped.
class PeerLinks
{
public:
  PeerLinks(EventLoop& loop, Record& record)
    : loop(loop)
    , record(record)
  {
  }

  /// \param advertised address of the proxy, to which the others send
  /// \param bound address of the machine's process
  void add(const Address& advertised, const Address& bound)
  {
    const int descriptor = bindSocket(SOCK_DGRAM, advertised);
    if (descriptor < 0) {
      throw std::runtime_error("can't bind " + formatAddress(advertised));
    }
    this->loop.watch(
      descriptor, [this, descriptor, bound] { this->pass(descriptor, bound); });
  }

  /// \brief Drops or passes all datagrams that a machine sends to others.
  void cutSender(std::uint32_t boundIp, bool isCut)
  {
    if (isCut) {
      this->cutSenders.insert(boundIp);
    } else {
      this->cutSenders.erase(boundIp);
    }
    this->record.line("links: datagrams from " + formatIp(boundIp) +
                      " to other machines are " +
                      (isCut ? "dropped" : "passed"));
  }

private:
  EventLoop& loop;
  Record& record;
  std::set<std::uint32_t> cutSenders;

  void pass(int descriptor, const Address& bound)
  {
    char buffer[65536];
    while (true) {
      sockaddr_in from{};
      socklen_t length = sizeof from;
      const ssize_t size = recvfrom(descriptor,
                                    buffer,
                                    sizeof buffer,
                                    0,
                                    reinterpret_cast<sockaddr*>(&from),
                                    &length);
      if (size < 0) {
        return;
      }
      if (!this->cutSenders.contains(ntohl(from.sin_addr.s_addr))) {
        sendDatagram(descriptor,
                     std::string(buffer, static_cast<std::size_t>(size)),
                     bound);
      }
    }
  }
};

}

#endif
