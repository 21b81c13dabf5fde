// Decides when the entry host retries a request itself.
#ifndef DECISIONS_RETRY_H_
#define DECISIONS_RETRY_H_

#include "base/priority.h"
#include "base/time.h"
#include "decisions/messages.h"

namespace sassafras {

// Token bucket that limits retries to a fraction of first tries, so that they
// cannot amplify an overload.
struct RetryBudget {
  double tokens_per_first_try = 0.1;
  double max_tokens = 20.0;
  double tokens = 10.0;
};

void OnFirstTry(RetryBudget& budget);

// Takes a token for one retry from the budget. Returns false if there is none.
bool ConsumeRetryToken(RetryBudget& budget);

// Outcome of one try, as needed to decide on a retry.
struct TryResult {
  SlotOutcome outcome = SlotOutcome::kBroken;
  Priority priority = Priority::kLow;
  bool idempotent = false;
  // The request's body can be sent again.
  bool replayable = false;
  // Part of the answer has been sent to the caller.
  bool answer_begun = false;
  int tries = 1;
  Duration time_left{};
};

constexpr int kMaxTries = 3;
// Higher, because tries that did not run cost an endpoint almost nothing.
constexpr int kMaxNotRunTries = 12;

// Whether the outcome proves that the endpoint did not run the request.
bool ProvesNotRun(SlotOutcome outcome);

// Whether another try is safe and useful, regardless of the budget.
bool IsRetryable(const TryResult& end);

// Whether to retry now. Takes a token from the budget, except for urgent
// requests that did not run.
bool MayRetry(RetryBudget& budget, const TryResult& end);

}  // namespace sassafras

#endif  // DECISIONS_RETRY_H_
