#include "routing/object_names.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace sassafras {

namespace {

// In the order of bytes.
constexpr std::string_view kUnreserved =
    "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";

// That the names of PlainNamesBehind() have in common with the one before them,
// so that their number is limited.
constexpr size_t kMaxCommonBytes = 64;

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

std::vector<std::string> PlainNamesWithPrefix(const std::string& prefix) {
  std::vector<std::string> names;
  for (const char c : kUnreserved) {
    if (IsPlainName(prefix + c))
      names.push_back(prefix + c);
  }
  return names;
}

std::vector<std::string> PlainNamesBehind(const std::string& name) {
  std::vector<std::string> names;
  std::string begin = name;
  if (!name.empty() && !IsPlainName(name)) {
    const auto next = NextPlainName(name);
    if (!next)
      return names;
    names.push_back(*next);
    begin = *next;
  }
  // Adds the names that begin with `begin`, which ends before `c` in `name`.
  const auto add_names_behind = [&](std::optional<char> c) {
    for (std::string& it : PlainNamesWithPrefix(begin)) {
      if (!c || IsLess(*c, it.back()))
        names.push_back(std::move(it));
    }
  };
  std::optional<char> c;
  while (begin.size() > kMaxCommonBytes) {
    c = begin.back();
    begin.pop_back();
  }
  add_names_behind(c);
  while (!begin.empty()) {
    c = begin.back();
    begin.pop_back();
    add_names_behind(c);
  }
  return names;
}

}  // namespace sassafras
