// Loads a sheet: writes the intent once, conditional on its revision, and
// determines the outcome even if the answer to the write is lost or another
// operator loads a sheet at the same time.
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
  kInForce,          // Accepted; its version is the newest in the store.
  kReplaced,         // Accepted, then replaced by a later load.
  kUnchanged,        // The same sheet is already in force.
  kNothingAccepted,  // No row was accepted; nothing was written.
  kConflict,         // Another load came first; this one has no effect.
  kNotAccepted,      // The store could not be read or refused the write.
  kUnknown,          // The write may or may not take effect.
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
  Version version;  // Version written by this load, if it was accepted.
  // The load that is in force instead, after a conflict or a replacement.
  std::string other_operator;
  Version other_version;
  int64_t other_at_unix_seconds = 0;
};

// The state of one load. Each step returns the next store call or the result.
struct LoadProcess {
  LoadRequest request;
  enum class Phase { kReadBase, kWrite, kReadBack, kDone };
  Phase phase = Phase::kReadBase;
  std::optional<Intent> base;
  uint64_t base_revision = 0;
  Version written;
  // A write was sent and its answer was lost.
  bool write_uncertain = false;
  int attempts = 0;
  LoadResult result;
};

using LoadStep = std::variant<StoreGet, StorePut, LoadResult>;

constexpr int kMaxLoadAttempts = 5;

// Returns the first store call, or the result if no row was accepted.
LoadStep BeginLoad(LoadProcess& process);

// Handles the reply to the last store call.
LoadStep ContinueLoad(LoadProcess& process, const StoreReply& reply);

// Merges the accepted rows of `request` into `base`. Services and settings
// without an accepted row keep their values of `base`; the leaving endpoints
// are replaced, except those of refused rows.
Intent MergeIntent(const std::optional<Intent>& base,
                   const LoadRequest& request);

}  // namespace sassafras

#endif  // DECISIONS_SHEET_LOAD_H_
