// A JSON parser for documents with values from several writers. A value that
// cannot be represented is replaced by null, so that one bad value does not
// make the others unreadable.
#ifndef BASE_LENIENT_JSON_H_
#define BASE_LENIENT_JSON_H_

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace sassafras {

// Values nested deeper are replaced by null: code that processes JSON
// recursively would overflow its stack on them.
inline constexpr size_t kMaxJsonDepth = 64;

struct LenientJson {
  nlohmann::json value;
  // Count of numbers out of range and values nested too deep, each replaced by
  // null.
  size_t dropped = 0;
};

struct LenientJsonPrefix {
  nlohmann::json value;
  size_t dropped = 0;  // See LenientJson.
  // Containers that were open where the syntax became invalid, the outermost
  // one included; zero if all of the text is valid.
  size_t open_containers = 0;
};

// As ParseLenientJson(), but reads text with invalid syntax up to the first
// error. Containers that are open there hold what was read of them.
LenientJsonPrefix ParseLenientJsonPrefix(std::string_view text);

// Parses JSON; nullopt if the syntax is invalid. Strings that are not valid
// UTF-8 are kept unchanged.
std::optional<LenientJson> ParseLenientJson(std::string_view text);

// JSON text of `json`. Bytes of strings that are not valid UTF-8 become the
// replacement character.
std::string DumpLenientJson(const nlohmann::json& json);

// The integer in `json`; nullopt if it has another type or is out of the range
// of `T`.
template <typename T>
std::optional<T> ToInteger(const nlohmann::json& json) {
  if (json.is_number_unsigned()) {
    const auto n = json.get<uint64_t>();
    if (n <= static_cast<uint64_t>(std::numeric_limits<T>::max()))
      return static_cast<T>(n);
    return std::nullopt;
  }
  if (!json.is_number_integer())
    return std::nullopt;
  // nlohmann::json may also store a non-negative number as signed.
  const auto n = json.get<int64_t>();
  if (n >= 0)
    return ToInteger<T>(nlohmann::json(static_cast<uint64_t>(n)));
  if (!std::numeric_limits<T>::is_signed ||
      n < static_cast<int64_t>(std::numeric_limits<T>::min()))
    return std::nullopt;
  return static_cast<T>(n);
}

}  // namespace sassafras

#endif  // BASE_LENIENT_JSON_H_
