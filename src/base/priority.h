// The three priority classes of requests, most urgent first.
#ifndef BASE_PRIORITY_H_
#define BASE_PRIORITY_H_

#include <array>
#include <cstddef>

#include "base/names_table.h"

namespace sassafras {

enum class Priority {
  kUrgent,  // Charges, confirmations, reservations.
  kNormal,  // Uploads.
  kLow,     // Archive reads, availability checks.
};

constexpr size_t kPriorityCount = 3;
constexpr std::array<Priority, kPriorityCount> kAllPriorities = {
    Priority::kUrgent, Priority::kNormal, Priority::kLow};

template <>
struct NamesTable<Priority> {
  static constexpr EnumName<Priority> kNames[] = {
      {Priority::kUrgent, "urgent"},
      {Priority::kNormal, "normal"},
      {Priority::kLow, "low"},
  };
};

SASSAFRAS_ENUM_JSON(Priority);

constexpr size_t IndexOf(Priority p) {
  return static_cast<size_t>(p);
}

// One value per priority class.
template <typename T>
using PerPriority = std::array<T, kPriorityCount>;

}  // namespace sassafras

#endif  // BASE_PRIORITY_H_
