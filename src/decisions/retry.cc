#include "decisions/retry.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);

}  // namespace

void OnFirstTry(RetryBudget& budget) {
  budget.tokens =
      std::min(budget.max_tokens, budget.tokens + budget.tokens_per_first_try);
}

bool ConsumeRetryToken(RetryBudget& budget) {
  if (budget.tokens < 1.0)
    return false;
  budget.tokens -= 1.0;
  return true;
}

bool ProvesNotRun(SlotOutcome outcome) {
  return outcome == SlotOutcome::kShed ||
         outcome == SlotOutcome::kConnectFailed ||
         outcome == SlotOutcome::kUnused;
}

bool IsRetryable(const TryResult& end) {
  if (end.answer_begun || !end.replayable || end.time_left < kMinTimeLeft)
    return false;
  if (ProvesNotRun(end.outcome))
    return end.tries < kMaxNotRunTries;
  return end.idempotent && end.outcome == SlotOutcome::kBroken &&
         end.tries < kMaxTries;
}

bool MayRetry(RetryBudget& budget, const TryResult& end) {
  if (!IsRetryable(end))
    return false;
  if (end.priority == Priority::kUrgent && ProvesNotRun(end.outcome))
    return true;
  return ConsumeRetryToken(budget);
}

}  // namespace sassafras
