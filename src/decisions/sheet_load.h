// Loading a sheet: one conditional write of the intent, and the truth about
// its outcome, also when the write's answer is lost or another operator's
// load comes between.
#ifndef DECISIONS_SHEET_LOAD_H_
#define DECISIONS_SHEET_LOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"
#include "decisions/intent.h"
#include "decisions/sheet.h"
#include "decisions/store_calls.h"

namespace sassafras {

enum class LoadOutcome {
  kInForce,          // Accepted; the version is the store's newest.
  kReplaced,         // Accepted, and replaced by a later load since.
  kUnchanged,        // The same sheet is in force already.
  kNothingAccepted,  // No row was accepted; nothing was written.
  kConflict,     // Another load came first; nothing of this one is in force.
  kNotAccepted,  // The store did not take the write.
  kUnknown,      // The write may or may not take effect.
};

template <>
struct NamesTable<LoadOutcome> {
  static constexpr EnumName<LoadOutcome> kNames[] = {
      {LoadOutcome::kInForce, "accepted"},
      {LoadOutcome::kReplaced, "accepted_and_replaced"},
      {LoadOutcome::kUnchanged, "unchanged"},
      {LoadOutcome::kNothingAccepted, "nothing_accepted"},
      {LoadOutcome::kConflict, "conflict"},
      {LoadOutcome::kNotAccepted, "not_accepted"},
      {LoadOutcome::kUnknown, "unknown"},
  };
};

struct LoadRequest {
  std::string load_id;
  std::string operator_name;
  WallTime now;
  uint64_t sheet_hash = 0;
  SheetReading reading;
};

struct LoadResult {
  LoadOutcome outcome = LoadOutcome::kUnknown;
  Version version;  // Of this load, where it was accepted.
  // The load that is in force instead, after a conflict or a replacement.
  std::string other_operator;
  Version other_version;
  int64_t other_at_unix_seconds = 0;
};

// The state of one load. Each step yields a store call or the result.
struct LoadProcess {
  LoadRequest request;
  enum class Phase { kReadBase, kWrite, kReadBack, kDone };
  Phase phase = Phase::kReadBase;
  std::optional<Intent> base;
  uint64_t base_revision = 0;
  Version written;
  // A write was sent whose answer is not known.
  bool write_uncertain = false;
  int attempts = 0;
  LoadResult result;
};

using LoadStep = std::variant<StoreGet, StorePut, LoadResult>;

constexpr int kMaxLoadAttempts = 5;

// The first call.
LoadStep BeginLoad(LoadProcess& process);

// Takes the answer to the last call.
LoadStep ContinueLoad(LoadProcess& process, const StoreReply& reply);

// `base` with the accepted part of `request` merged in. Services and settings
// without an accepted row keep their last intent.
Intent MergeIntent(const std::optional<Intent>& base,
                   const LoadRequest& request);

}  // namespace sassafras

#endif  // DECISIONS_SHEET_LOAD_H_
