// Conversion between enumerators and their names by one table per enum.
//
// To add a table for an enum, specialise `NamesTable<Enum>` with a static array
// `kNames` of `EnumName<Enum>`.
#ifndef BASE_NAMES_TABLE_H_
#define BASE_NAMES_TABLE_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace sassafras {

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

template <typename Enum>
struct NamesTable;  // Specialised with a static constexpr array `kNames`.

// Name of `value`; "?" if it is not in the table.
template <typename Enum>
std::string_view NameOf(Enum value) {
  for (const auto& it : NamesTable<Enum>::kNames) {
    if (it.value == value)
      return it.name;
  }
  return "?";
}

// The enumerator with the name `name`; nullopt if there is none.
template <typename Enum>
std::optional<Enum> FromName(std::string_view name) {
  for (const auto& it : NamesTable<Enum>::kNames) {
    if (it.name == name)
      return it.value;
  }
  return std::nullopt;
}

// Defines the JSON conversions of `Enum`, which use its names in the table.
// Reading an unknown name throws std::invalid_argument.
// NOLINTBEGIN(bugprone-macro-parentheses): a type cannot stand in parentheses.
#define SASSAFRAS_ENUM_JSON(Enum)                                 \
  template <typename Json>                                        \
  void to_json(Json& j, const Enum& value) {                      \
    j = std::string(NameOf(value));                               \
  }                                                               \
  template <typename Json>                                        \
  void from_json(const Json& j, Enum& value) {                    \
    const auto name = j.template get<std::string>();              \
    const auto found = FromName<Enum>(name);                      \
    if (!found)                                                   \
      throw std::invalid_argument("unknown name '" + name + "'"); \
    value = *found;                                               \
  }                                                               \
  static_assert(std::is_enum_v<Enum>, "JSON names need an enum type")
// NOLINTEND(bugprone-macro-parentheses)

}  // namespace sassafras

#endif  // BASE_NAMES_TABLE_H_
