// Non-blocking TCP sockets on IPv4 addresses.
#ifndef BASE_SOCKET_H_
#define BASE_SOCKET_H_

#include <string>

#include "base/address.h"
#include "base/error.h"

namespace sassafras {

// Owns a file descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      Close();
      fd_ = other.Release();
    }
    return *this;
  }

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  int Release() {
    const int fd = fd_;
    fd_ = -1;
    return fd;
  }
  void Close();

 private:
  int fd_ = -1;
};

// Opens a listening socket on `address`.
Result<Socket> Listen(const Address& address);

// Starts a connection to `address`, from the local IP `from_ip` unless that is
// empty. The result may not be connected yet: once the socket is writable,
// IsConnected() tells the outcome.
Result<Socket> StartConnect(const Address& address, const std::string& from_ip);

// Connections that may wait to be accepted.
inline constexpr int kListenBacklog = 512;

// Bounds what the kernel receives for the process to read, on connections that
// are accepted later.
void SetReceiveBuffer(const Socket& listener, size_t bytes);

// Accepts the next pending connection; the socket is invalid if there is none.
Socket AcceptConnection(const Socket& listener);

// Whether a connection attempt has succeeded. Call it once the socket is
// writable; a pending socket error is cleared.
bool IsConnected(const Socket& socket);

}  // namespace sassafras

#endif  // BASE_SOCKET_H_
