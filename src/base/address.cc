#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace sassafras {

std::optional<Address> Address::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (!ParseIpv4(ip))
    return std::nullopt;
  uint16_t n = 0;
  const auto [end, ec] = std::from_chars(port.begin(), port.end(), n);
  if (ec != std::errc() || end != port.end() || n == 0)
    return std::nullopt;
  return Address{std::string(ip), n};
}

std::optional<uint32_t> ParseIpv4(std::string_view ip) {
  in_addr addr{};
  // inet_pton() would not read past a null character.
  if (ip.find('\0') != std::string_view::npos)
    return std::nullopt;
  if (inet_pton(AF_INET, std::string(ip).c_str(), &addr) != 1)
    return std::nullopt;
  return ntohl(addr.s_addr);
}

}  // namespace sassafras
