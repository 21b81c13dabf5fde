#include "routing/attempt.h"

#include <algorithm>

#include "base/http_status.h"

namespace sassafras {

namespace {

// With less time left than this, a retry cannot get an answer.
constexpr Duration kMinRetryTimeLeft = std::chrono::milliseconds(50);
// Share of its part of the bound that a host uses. The margin is needed because
// hosts count in windows of their own and know the number of hosts only
// roughly.
constexpr double kUsedBoundShare = 0.6;

void DropOutsideWindow(std::deque<Time>& times, Duration window, Time now) {
  while (!times.empty() && times.front() + window <= now)
    times.pop_front();
}

}  // namespace

void OnRequest(RetryAllowance& allowance, const RetryBound& bound, Time now) {
  DropOutsideWindow(allowance.requests, bound.window, now);
  allowance.requests.push_back(now);
}

bool TakeRetry(RetryAllowance& allowance,
               const RetryBound& bound,
               std::optional<size_t> hosts,
               Time now) {
  DropOutsideWindow(allowance.requests, bound.window, now);
  DropOutsideWindow(allowance.retries, bound.window, now);
  const double slack =
      hosts ? bound.slack / static_cast<double>(std::max<size_t>(*hosts, 1))
            : 0;
  const double share =
      bound.per_request * static_cast<double>(allowance.requests.size()) +
      slack;
  if (static_cast<double>(allowance.retries.size()) + 1 >
      kUsedBoundShare * share)
    return false;
  allowance.retries.push_back(now);
  return true;
}

bool IsRetryUseful(const TryState& state) {
  if (state.answer_begun || !state.replayable ||
      state.time_left < kMinRetryTimeLeft)
    return false;
  if (state.outcome == TryOutcome::kAnswered ||
      state.outcome == TryOutcome::kTimedOut)
    return false;
  if (state.outcome == TryOutcome::kNotSent ||
      state.outcome == TryOutcome::kWithheld)
    return !state.may_have_run || MayRepeat(state.kind);
  if (state.sends >= state.max_attempts || state.is_suspect)
    return false;
  // Another endpoint would take several times as long for an object that it
  // does not have in its cache, and evict another object. Under overload, this
  // costs more than a later request to the object's first endpoint.
  if (state.is_long && state.was_full)
    return false;
  return !state.may_have_run || MayRepeat(state.kind);
}

bool ProvesNoCrash(TryOutcome outcome) {
  return outcome == TryOutcome::kAnswered;
}

bool ProvesAlive(TryOutcome outcome, int status) {
  switch (outcome) {
    case TryOutcome::kAnswered:
    case TryOutcome::kFailed:
      return true;
    case TryOutcome::kNotRun:
      return status != kHttpMisdirectedRequest;
    case TryOutcome::kNotSent:
    case TryOutcome::kWithheld:
    case TryOutcome::kBroken:
    case TryOutcome::kBadAnswer:
    case TryOutcome::kTimedOut:
      return false;
  }
  return false;
}

int RefusalStatus(bool may_have_run) {
  return may_have_run ? kHttpBadGateway : kHttpServiceUnavailable;
}

NextStep DecideNext(const TryState& state, bool may_retry) {
  if (state.outcome == TryOutcome::kAnswered)
    return NextStep::kDeliver;
  if (IsRetryUseful(state) && may_retry)
    return NextStep::kTryAgain;
  if (state.outcome == TryOutcome::kFailed)
    return NextStep::kDeliver;
  if (!state.may_have_run)
    return NextStep::kRefuse;
  return state.outcome == TryOutcome::kTimedOut ? NextStep::kFailTime
                                                : NextStep::kFail;
}

}  // namespace sassafras
