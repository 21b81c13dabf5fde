#include "base/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace sassafras {

namespace {

// A peer that has acknowledged no sent data for this long counts as gone.
constexpr int kPeerTimeoutMs = 2500;
// TCP keepalive: idle time before the first probe, interval between probes, and
// the number of unanswered probes after which the connection is closed.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

// A peer that loses power or network sends no RST, so without keepalive probes
// an idle connection to it would stay open.
void EnableKeepAlive(int fd) {
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kPeerTimeoutMs);
}

sockaddr_in SockaddrOf(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

leaf::error_id SocketError(const char* step, const Address& address) {
  return leaf::new_error(Error{ErrorCode::kUnavailable, step,
                               address.ToString(), std::strerror(errno)});
}

Socket NewSocket() {
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  SetOption(socket.fd(), IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  return socket;
}

}  // namespace

void Socket::Close() {
  if (fd_ >= 0)
    ::close(fd_);
  fd_ = -1;
}

Result<Socket> Listen(const Address& address) {
  Socket socket = NewSocket();
  const sockaddr_in to = SockaddrOf(address);
  const auto* raw = reinterpret_cast<const sockaddr*>(&to);
  if (::bind(socket.fd(), raw, sizeof(to)) != 0)
    return SocketError("bind", address);
  if (::listen(socket.fd(), kListenBacklog) != 0)
    return SocketError("listen", address);
  return socket;
}

Result<Socket> StartConnect(const Address& address,
                            const std::string& from_ip) {
  Socket socket = NewSocket();
  if (!from_ip.empty()) {
    SetOption(socket.fd(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    const sockaddr_in from = SockaddrOf({from_ip, 0});
    const auto* raw_from = reinterpret_cast<const sockaddr*>(&from);
    if (::bind(socket.fd(), raw_from, sizeof(from)) != 0)
      return SocketError("bind", {from_ip, 0});
  }
  EnableKeepAlive(socket.fd());
  const sockaddr_in to = SockaddrOf(address);
  const auto* raw = reinterpret_cast<const sockaddr*>(&to);
  if (::connect(socket.fd(), raw, sizeof(to)) != 0 && errno != EINPROGRESS)
    return SocketError("connect", address);
  return socket;
}

void SetReceiveBuffer(const Socket& listener, size_t bytes) {
  SetOption(listener.fd(), SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

Socket AcceptConnection(const Socket& listener) {
  Socket socket(
      ::accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.valid()) {
    SetOption(socket.fd(), IPPROTO_TCP, TCP_NODELAY, 1);
    EnableKeepAlive(socket.fd());
  }
  return socket;
}

bool IsConnected(const Socket& socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

}  // namespace sassafras
