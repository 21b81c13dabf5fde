#include "standins/connection_faults.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "base/socket.h"

namespace sassafras {

namespace {

[[noreturn]] void Die(const char* step) {
  std::cerr << step << ": " << std::strerror(errno) << '\n';
  std::abort();
}

std::optional<Address> ToAddress(const sockaddr_in& raw) {
  char ip[INET_ADDRSTRLEN];
  if (raw.sin_family != AF_INET ||
      !inet_ntop(AF_INET, &raw.sin_addr, ip, sizeof(ip)))
    return std::nullopt;
  return Address{ip, ntohs(raw.sin_port)};
}

using NameOfEnd = int (*)(int, sockaddr*, socklen_t*);

// The address of one end; nothing unless `socket` is a TCP connection.
std::optional<Address> AddressOfEnd(const Socket& socket, NameOfEnd name_of) {
  int type = 0;
  socklen_t size = sizeof(type);
  sockaddr_in raw{};
  socklen_t raw_size = sizeof(raw);
  if (getsockopt(socket.fd(), SOL_SOCKET, SO_TYPE, &type, &size) != 0 ||
      type != SOCK_STREAM ||
      name_of(socket.fd(), reinterpret_cast<sockaddr*>(&raw), &raw_size) != 0)
    return std::nullopt;
  return ToAddress(raw);
}

void Reset(const Socket& socket) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  (void)::connect(socket.fd(), &none, sizeof(none));
}

void Silence(const Socket& socket) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop_all};
  setsockopt(socket.fd(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
             sizeof(program));
}

}  // namespace

size_t HarmConnections(pid_t process,
                       ConnectionFault fault,
                       const ConnectionFilter& is_hit) {
  const Socket handle(static_cast<int>(::syscall(SYS_pidfd_open, process, 0)));
  if (!handle.valid())
    Die("pidfd_open");
  size_t n = 0;
  std::error_code ec;
  const std::string folder = "/proc/" + std::to_string(process) + "/fd";
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    const std::string target =
        std::filesystem::read_symlink(it.path(), ec).string();
    if (target.rfind("socket:", 0) != 0)
      continue;
    const int fd = std::stoi(it.path().filename().string());
    const Socket copy(
        static_cast<int>(::syscall(SYS_pidfd_getfd, handle.fd(), fd, 0)));
    // The process may have closed it meanwhile.
    if (!copy.valid() && errno == EBADF)
      continue;
    if (!copy.valid())
      Die("pidfd_getfd");
    const auto remote = AddressOfEnd(copy, ::getpeername);
    const auto local = AddressOfEnd(copy, ::getsockname);
    if (!remote || !local || !is_hit(*local, *remote))
      continue;
    if (fault == ConnectionFault::kReset)
      Reset(copy);
    else
      Silence(copy);
    ++n;
  }
  return n;
}

}  // namespace sassafras
