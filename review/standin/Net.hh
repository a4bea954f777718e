#ifndef REVIEW_NET_HH
#define REVIEW_NET_HH

#include <arpa/inet.h>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

/// \brief IPv4 address and port, in host byte order.
struct Address
{
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

inline std::uint32_t
parseIp(const std::string& text)
{
  return ntohl(inet_addr(text.c_str()));
}

inline std::string
formatIp(std::uint32_t ip)
{
  in_addr address{ htonl(ip) };
  return inet_ntoa(address);
}

inline std::string
formatAddress(const Address& address)
{
  return formatIp(address.ip) + ":" + std::to_string(address.port);
}

inline sockaddr_in
toSockaddr(const Address& address)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

inline void
setNonBlocking(int descriptor)
{
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

/// \returns a bound socket; TCP sockets also listen. -1 if that fails.
inline int
bindSocket(int type, const Address& address)
{
  const int descriptor = socket(AF_INET, type, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  const sockaddr_in name = toSockaddr(address);
  const bool bound =
    bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) ==
    0;
  constexpr int kBacklog = 64;
  if (!bound || (type == SOCK_STREAM && listen(descriptor, kBacklog) != 0)) {
    close(descriptor);
    return -1;
  }
  setNonBlocking(descriptor);
  return descriptor;
}

inline void
sendDatagram(int descriptor, const std::string& bytes, const Address& to)
{
  const sockaddr_in name = toSockaddr(to);
  sendto(descriptor,
         bytes.data(),
         bytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&name),
         sizeof name);
}

/// \brief Closes a TCP connection with a reset.
inline void
resetConnection(int descriptor)
{
  const linger noLinger{ 1, 0 };
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
  close(descriptor);
}

}

#endif
