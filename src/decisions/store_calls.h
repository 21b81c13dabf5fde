// Calls to the platform's store and its answers, as the decision logic sees
// them.
#ifndef DECISIONS_STORE_CALLS_H_
#define DECISIONS_STORE_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"
#include "decisions/documents.h"

namespace sassafras {

// Kinds of objects besides the documents.
inline constexpr char kStatusKind[] = "status";
inline constexpr char kLeaseKind[] = "lease";

struct StoreObject {
  std::string kind;
  std::string name;
  // Version that the store gave to this state of the object; zero if absent.
  uint64_t revision = 0;
  std::string value;  // JSON text.
};

enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,     // The object has another revision than expected.
  kUnavailable,  // The store did not take the call.
  kUnknown,      // A write may or may not have taken effect.
};

template <>
struct NamesTable<StoreStatus> {
  static constexpr EnumName<StoreStatus> kNames[] = {
      {StoreStatus::kOk, "ok"},
      {StoreStatus::kNotFound, "not_found"},
      {StoreStatus::kConflict, "conflict"},
      {StoreStatus::kUnavailable, "unavailable"},
      {StoreStatus::kUnknown, "unknown"},
  };
};

struct StoreGet {
  std::string kind;
  std::string name;
};

struct StoreList {
  std::string kind;
  Duration timeout{};  // Zero: the client's own.
};

// Writes `value` if the object's revision is `expected_revision`; zero
// creates the object.
struct StorePut {
  std::string kind;
  std::string name;
  uint64_t expected_revision = 0;
  std::string value;
};

// What a follower of a kind is told: the whole list with `complete`, else
// changes. An object that was removed has revision zero.
struct StoreChange {
  std::vector<StoreObject> objects;
  bool complete = false;
  uint64_t as_of = 0;  // The store's revision up to which this is known.
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  // What was read or written; the present state after a conflict.
  std::vector<StoreObject> objects;
  // With a list: the store's revision that it shows; zero if it is not known.
  uint64_t as_of = 0;
  // With a list: more objects follow behind the last one. Not set in what
  // Store::List() returns.
  bool has_more = false;
  // With a list: the name of the last object, also of one that cannot be read.
  std::string last_name;
};

// The document in a store object of `kind`; nothing if it is malformed. The
// platform's own lists take the store's revision as their version.
std::optional<Document> DocumentOf(DocumentKind kind,
                                   const StoreObject& object);

}  // namespace sassafras

#endif  // DECISIONS_STORE_CALLS_H_
