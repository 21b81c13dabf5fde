#include "routing/attempt.h"

#include <algorithm>

#include "base/http_status.h"

namespace sassafras {

namespace {

// A retry with less time than this cannot bring an answer.
constexpr Duration kLeastRetryTime = std::chrono::milliseconds(50);
// Part of the bound that a host uses: hosts count in windows of their own and
// know the number of hosts only roughly.
constexpr double kUsedPart = 0.6;

void DropOld(std::deque<Time>& times, Duration window, Time now) {
  while (!times.empty() && times.front() + window <= now)
    times.pop_front();
}

}  // namespace

void OnRequest(RetryAllowance& allowance, const RetryBound& bound, Time now) {
  DropOld(allowance.requests, bound.window, now);
  allowance.requests.push_back(now);
}

bool TakeRetry(RetryAllowance& allowance,
               const RetryBound& bound,
               std::optional<size_t> hosts,
               Time now) {
  DropOld(allowance.requests, bound.window, now);
  DropOld(allowance.retries, bound.window, now);
  const double slack =
      hosts ? bound.slack / static_cast<double>(std::max<size_t>(*hosts, 1))
            : 0;
  const double share =
      bound.per_request * static_cast<double>(allowance.requests.size()) +
      slack;
  if (static_cast<double>(allowance.retries.size()) + 1 > kUsedPart * share)
    return false;
  allowance.retries.push_back(now);
  return true;
}

bool IsRetryUseful(const TryState& end) {
  if (end.answer_begun || !end.replayable || end.time_left < kLeastRetryTime)
    return false;
  if (end.outcome == TryOutcome::kAnswered ||
      end.outcome == TryOutcome::kTimedOut)
    return false;
  if (end.outcome == TryOutcome::kNotSent)
    return !end.may_have_run || MayRepeat(end.kind);
  if (end.sends >= end.max_attempts || end.is_suspect)
    return false;
  // Another endpoint would take several times as long for an object that it
  // does not know, and forget another object for it: in a flood, that costs
  // more than the request's turn at its own endpoint later.
  if (end.is_long && end.was_full)
    return false;
  return !end.may_have_run || MayRepeat(end.kind);
}

bool ShowsSafeRun(TryOutcome outcome) {
  return outcome == TryOutcome::kAnswered;
}

int RefusalStatus(bool may_have_run) {
  return may_have_run ? kHttpBadGateway : kHttpServiceUnavailable;
}

NextStep DecideNext(const TryState& end, bool may_retry) {
  if (end.outcome == TryOutcome::kAnswered)
    return NextStep::kDeliver;
  if (IsRetryUseful(end) && may_retry)
    return NextStep::kTryAgain;
  if (end.outcome == TryOutcome::kFailed)
    return NextStep::kDeliver;
  if (!end.may_have_run)
    return NextStep::kRefuse;
  return end.outcome == TryOutcome::kTimedOut ? NextStep::kFailTime
                                              : NextStep::kFail;
}

}  // namespace sassafras
