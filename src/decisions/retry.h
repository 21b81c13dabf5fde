// When the system itself tries a request again.
#ifndef DECISIONS_RETRY_H_
#define DECISIONS_RETRY_H_

#include "base/priority.h"
#include "base/time.h"
#include "decisions/messages.h"

namespace sassafras {

// Retries are a share of first tries, so that they cannot multiply a flood.
struct RetryBudget {
  double tokens_per_first_try = 0.1;
  double max_tokens = 20.0;
  double tokens = 10.0;
};

void OnFirstTry(RetryBudget& budget);

// Takes one retry out of the budget if there is one.
bool ConsumeRetryToken(RetryBudget& budget);

// How one try ended, as far as a repetition is concerned.
struct TryResult {
  SlotOutcome outcome = SlotOutcome::kBroken;
  Priority priority = Priority::kLow;
  bool idempotent = false;
  // The request's body can be sent once more.
  bool replayable = false;
  // A part of the answer has gone to the caller.
  bool answer_begun = false;
  int tries = 1;
  Duration time_left{};
};

constexpr int kMaxTries = 3;
// Tries that proved not to have run cost an endpoint next to nothing.
constexpr int kMaxNotRunTries = 12;

// Whether the end proves that the endpoint did not run the request.
bool ProvesNotRun(SlotOutcome outcome);

// Whether another try is safe and useful, apart from the budget.
bool IsRetryable(const TryResult& end);

// Whether the try may be repeated now. Takes from the budget, except for
// urgent work that proved not to have run.
bool MayRetry(RetryBudget& budget, const TryResult& end);

}  // namespace sassafras

#endif  // DECISIONS_RETRY_H_
