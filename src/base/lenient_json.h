// JSON from several writers, where one writer's values must not hide those of
// the others.
#ifndef BASE_LENIENT_JSON_H_
#define BASE_LENIENT_JSON_H_

#include <cstddef>
#include <limits>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace sassafras {

// Values nested deeper are left out; JSON's users work on it by recursion.
inline constexpr size_t kMaxJsonDepth = 64;

struct LenientJson {
  nlohmann::json value;
  // Numbers out of range and values nested too deep; null stands for each.
  size_t dropped = 0;
};

// Nothing if the text is no JSON. Text that is not UTF-8 stays as it is.
std::optional<LenientJson> ParseLenientJson(std::string_view text);

// The whole number in `json`; nothing if it is of another type or out of the
// range of `T`.
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
  // Negative, or unsigned texts would have been taken above.
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
