#include "routing/object_names.h"

#include <algorithm>
#include <string_view>

namespace sassafras {

namespace {

// In the order of bytes.
constexpr std::string_view kUnreserved =
    "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";

bool IsUnreserved(char c) {
  return kUnreserved.find(c) != std::string_view::npos;
}

// Compares unsigned bytes: whether `char` is signed depends on the processor.
bool IsLess(char a, char b) {
  return static_cast<unsigned char>(a) < static_cast<unsigned char>(b);
}

// The first unreserved character after `c`.
std::optional<char> NextUnreserved(char c) {
  const auto it =
      std::upper_bound(kUnreserved.begin(), kUnreserved.end(), c, IsLess);
  return it == kUnreserved.end() ? std::nullopt : std::optional<char>(*it);
}

}  // namespace

bool IsPlainName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxPlainNameBytes && name != "." &&
         name != ".." && std::all_of(name.begin(), name.end(), IsUnreserved);
}

std::optional<std::string> NextPlainName(const std::string& name) {
  const auto reserved =
      std::find_if_not(name.begin(), name.end(), IsUnreserved);
  const auto plain_bytes = std::min(
      static_cast<size_t>(reserved - name.begin()), kMaxPlainNameBytes);
  std::string next = name.substr(0, plain_bytes);
  if (plain_bytes == name.size() && plain_bytes < kMaxPlainNameBytes)
    return next + kUnreserved.front();
  // The first character that can be replaced by a later one, from the end of
  // the part that plain names can begin with.
  std::optional<char> later;
  if (plain_bytes < kMaxPlainNameBytes)
    later = NextUnreserved(name[plain_bytes]);
  while (!later && !next.empty()) {
    later = NextUnreserved(next.back());
    next.pop_back();
  }
  if (!later)
    return std::nullopt;
  next += *later;
  // Behind a dot segment, the first plain name has one more character.
  if (!IsPlainName(next))
    next += kUnreserved.front();
  return next;
}

}  // namespace sassafras
