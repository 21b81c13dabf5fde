#include "decisions/fair_queue.h"

#include <algorithm>

namespace sassafras {

namespace {

// Limit of the credit or debt of a class, in seconds of its share of all
// slots. With a higher limit, a class that got no slots during an outage would
// take over the whole zone afterwards.
constexpr double kMaxCreditSeconds = 2.0;

CallerQueue::CallerRequests& RequestsOf(CallerQueue& queue,
                                        const CallerId& caller) {
  const auto it = queue.by_caller.find(caller);
  if (it != queue.by_caller.end())
    return *it->second;
  queue.callers.push_back({caller, {}});
  queue.by_caller[caller] = std::prev(queue.callers.end());
  return queue.callers.back();
}

}  // namespace

void Push(CallerQueue& queue, QueuedRequest request) {
  CallerQueue::CallerRequests& caller_requests =
      RequestsOf(queue, request.request.caller);
  caller_requests.requests.push_back(std::move(request));
  ++queue.size;
}

void PushFront(CallerQueue& queue, QueuedRequest request) {
  CallerQueue::CallerRequests& caller_requests =
      RequestsOf(queue, request.request.caller);
  caller_requests.requests.push_front(std::move(request));
  ++queue.size;
}

std::optional<QueuedRequest> Pop(CallerQueue& queue) {
  if (queue.callers.empty())
    return std::nullopt;
  const auto caller_requests = queue.callers.begin();
  QueuedRequest request = std::move(caller_requests->requests.front());
  caller_requests->requests.pop_front();
  --queue.size;
  if (caller_requests->requests.empty()) {
    queue.by_caller.erase(caller_requests->caller);
    queue.callers.erase(caller_requests);
  } else {
    queue.callers.splice(queue.callers.end(), queue.callers, caller_requests);
  }
  return request;
}

size_t PositionOf(const CallerQueue& queue, const CallerId& caller) {
  const auto it = queue.by_caller.find(caller);
  const size_t own =
      it == queue.by_caller.end() ? 0 : it->second->requests.size();
  // Each other caller is served at most once per request of this caller.
  const size_t others = queue.callers.size() - (own > 0 ? 1 : 0);
  return std::min(queue.size, own + others * (own + 1));
}

void UpdateShares(ShareAccounts& accounts,
                  const PerPriority<double>& least_shares,
                  const PerPriority<size_t>& waiting,
                  const PerPriority<size_t>& held,
                  double slots,
                  Time now) {
  const double elapsed =
      accounts.updated == Time() ? 0.0 : Seconds(now - accounts.updated);
  accounts.updated = now;
  for (const Priority p : kAllPriorities) {
    const size_t n = IndexOf(p);
    double& account = accounts.credit_slot_seconds[n];
    if (waiting[n] == 0) {
      account = std::min(account, 0.0);
      if (held[n] == 0)
        account = 0;
    }
    const double earned = least_shares[n] * slots * elapsed;
    const double spent = static_cast<double>(held[n]) * elapsed;
    const double bound = kMaxCreditSeconds * slots * least_shares[n];
    account = std::clamp(account + earned - spent, -bound, bound);
  }
}

PerPriority<Priority> PriorityOrder(const ShareAccounts& accounts,
                                    const PerPriority<double>& least_shares) {
  PerPriority<Priority> order = kAllPriorities;
  const auto is_owed = [&](Priority p) {
    const size_t n = IndexOf(p);
    return least_shares[n] > 0 && accounts.credit_slot_seconds[n] > 0;
  };
  std::stable_partition(order.begin(), order.end(), is_owed);
  return order;
}

}  // namespace sassafras
