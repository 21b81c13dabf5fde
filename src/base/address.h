// An IPv4 address with a TCP port.
#ifndef BASE_ADDRESS_H_
#define BASE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
  // Parses "a.b.c.d:port" with a port from 1 to 65535; nullopt for any other
  // text.
  static std::optional<Address> Parse(std::string_view text);

  friend bool operator==(const Address& a, const Address& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator!=(const Address& a, const Address& b) {
    return !(a == b);
  }
  friend bool operator<(const Address& a, const Address& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }

  template <typename Json>
  friend void to_json(Json& j, const Address& a) {
    j = a.ToString();
  }
  template <typename Json>
  friend void from_json(const Json& j, Address& a) {
    a = Parse(j.template get<std::string>()).value_or(Address{});
  }
};

// The IPv4 address `ip` as a number in host byte order; nullopt if malformed.
std::optional<uint32_t> ParseIpv4(std::string_view ip);

}  // namespace sassafras

#endif  // BASE_ADDRESS_H_
