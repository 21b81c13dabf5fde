// Calls to the platform's store and their replies, independent of the protocol
// of the store.
#ifndef DECISIONS_STORE_CALLS_H_
#define DECISIONS_STORE_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"
#include "decisions/documents.h"
#include "decisions/store_position.h"

namespace sassafras {

// Kinds of store objects that are not documents.
inline constexpr char kStatusKind[] = "status";
inline constexpr char kLeaseKind[] = "lease";

struct StoreObject {
  std::string kind;
  std::string name;
  // Revision that the store assigned to this state of the object; zero if the
  // object does not exist.
  uint64_t revision = 0;
  std::string value;  // JSON text.
};

enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,     // The object's revision is not the expected one.
  kUnavailable,  // The store did not accept the call.
  kUnknown,      // The write may or may not have taken effect.
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

enum class ListFreshness {
  kCurrent,  // All that was written before the call.
  // May be seconds old; cheaper, if the store has replicas. Its `as_of` is the
  // position of the newest object on its oldest page.
  kMayBeStale,
};

struct StoreList {
  std::string kind;
  Duration timeout{};  // Zero: the default of the store client.
  ListFreshness freshness = ListFreshness::kCurrent;
  // The reply is partial if there are other pages.
  bool only_first_page = false;
};

// Writes `value` if the object's revision is `expected_revision`. Zero means
// that the object must not exist; the write creates it.
struct StorePut {
  std::string kind;
  std::string name;
  uint64_t expected_revision = 0;
  std::string value;
};

// An update sent to a follower of a kind: all objects if `complete` is set,
// otherwise the changed ones. A removed object has revision zero.
struct StoreChange {
  std::vector<StoreObject> objects;
  bool complete = false;
  // Up to which changes are included. Its era is also that of the objects'
  // revisions.
  StorePosition as_of;
  // The objects of a list that could not be read to its end, so that others may
  // exist. Never set together with `complete`.
  bool is_partial_list = false;
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  // The objects read or written; after a conflict, the current object.
  std::vector<StoreObject> objects;
  // For a list: the position that it reflects; else unknown. Its era is also
  // that of the objects' revisions.
  StorePosition as_of;
  // For a list: it could not be read to its end, so that other objects may
  // exist.
  bool is_partial = false;
};

// Converts a store object of `kind` to a document; empty if it is malformed.
// The platform's lists carry no version of their own, so the store revision is
// used as their version.
std::optional<Document> DocumentOf(DocumentKind kind,
                                   const StoreObject& object);

}  // namespace sassafras

#endif  // DECISIONS_STORE_CALLS_H_
