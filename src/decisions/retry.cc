#include "decisions/retry.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(5);

}  // namespace

void OnFirstTry(RetryBudget& budget) {
  budget.tokens = std::min(budget.most, budget.tokens + budget.per_first_try);
}

bool TakeRetry(RetryBudget& budget) {
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

bool IsRetryable(const TryEnd& end) {
  if (end.answer_begun || !end.replayable || end.time_left < kLeastTimeLeft)
    return false;
  if (ProvesNotRun(end.outcome))
    return end.tries < kMaxUnrunTries;
  return end.idempotent && end.outcome == SlotOutcome::kBroken &&
         end.tries < kMaxTries;
}

bool MayRetry(RetryBudget& budget, const TryEnd& end) {
  if (!IsRetryable(end))
    return false;
  if (end.priority == Priority::kUrgent && ProvesNotRun(end.outcome))
    return true;
  return TakeRetry(budget);
}

}  // namespace sassafras
