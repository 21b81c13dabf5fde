// Non-blocking TCP sockets by IP number.
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

// A listening socket.
Result<Socket> Listen(const Address& address);

// A socket whose connection to `address` is under way, bound to `from_ip`
// unless that is empty.
Result<Socket> StartConnect(const Address& address, const std::string& from_ip);

// The next waiting connection; invalid if there is none.
Socket AcceptConnection(const Socket& listener);

// Whether a started connection has been established.
bool IsConnected(const Socket& socket);

}  // namespace sassafras

#endif  // BASE_SOCKET_H_
