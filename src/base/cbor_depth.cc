#include "base/cbor_depth.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace sassafras {

namespace {

// Major types of RFC 8949.
constexpr unsigned kBytes = 2;
constexpr unsigned kText = 3;
constexpr unsigned kArray = 4;
constexpr unsigned kMap = 5;
constexpr unsigned kTag = 6;
constexpr unsigned kSimple = 7;

// Values of the low five bits of an item's first byte.
constexpr unsigned kOneByteArgument = 24;
constexpr unsigned kEightByteArgument = 27;
constexpr unsigned kIndefinite = 31;

// Items left in a container that ends with a break.
constexpr uint64_t kUntilBreak = std::numeric_limits<uint64_t>::max();

// Removes the argument of an item from the front of `rest`; nothing if it is
// malformed.
std::optional<uint64_t> TakeArgument(unsigned info, std::string_view& rest) {
  if (info < kOneByteArgument)
    return info;
  if (info > kEightByteArgument)
    return std::nullopt;
  const size_t size = size_t{1} << (info - kOneByteArgument);
  if (rest.size() < size)
    return std::nullopt;
  uint64_t n = 0;
  for (const char it : rest.substr(0, size))
    n = n << 8 | static_cast<unsigned char>(it);
  rest.remove_prefix(size);
  return n;
}

// Ends the containers whose last item has just ended.
void PopComplete(std::vector<uint64_t>& items_left) {
  while (!items_left.empty() && items_left.back() != kUntilBreak &&
         --items_left.back() == 0)
    items_left.pop_back();
}

}  // namespace

bool IsCborWithinDepth(std::string_view bytes, size_t max_depth) {
  std::vector<uint64_t> items_left;  // Of each open container.
  do {
    if (bytes.empty() || items_left.size() > max_depth)
      return false;
    const auto first = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    const unsigned type = first >> 5;
    const unsigned info = first & 31;
    if (info == kIndefinite) {
      if (type == kSimple) {
        if (items_left.empty() || items_left.back() != kUntilBreak)
          return false;
        items_left.pop_back();
        PopComplete(items_left);
      } else if (type >= kBytes && type <= kMap) {
        items_left.push_back(kUntilBreak);
      } else {
        return false;
      }
      continue;
    }
    const auto n = TakeArgument(info, bytes);
    if (!n)
      return false;
    if (type == kBytes || type == kText) {
      if (*n > bytes.size())
        return false;
      bytes.remove_prefix(*n);
    }
    const bool is_container = type == kArray || type == kMap || type == kTag;
    // An item takes at least one byte.
    if (is_container && type != kTag && *n > bytes.size())
      return false;
    const uint64_t items = type == kTag ? 1 : type == kMap ? 2 * *n : *n;
    if (is_container && items > 0)
      items_left.push_back(items);
    else
      PopComplete(items_left);
  } while (!items_left.empty());
  return true;
}

}  // namespace sassafras
