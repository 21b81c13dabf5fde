// The requests that wait for a slot of one service and zone: by priority, and
// within a priority fair between callers.
#ifndef DECISIONS_FAIR_QUEUE_H_
#define DECISIONS_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "decisions/messages.h"

namespace sassafras {

// An exchange as other hosts name it.
struct ExchangeRef {
  HostId host;
  ExchangeId exchange;

  friend bool operator==(const ExchangeRef& a, const ExchangeRef& b) {
    return a.exchange == b.exchange && a.host == b.host;
  }
};

struct ExchangeRefHash {
  size_t operator()(const ExchangeRef& ref) const {
    return std::hash<HostId>()(ref.host) * 31 +
           std::hash<ExchangeId>()(ref.exchange);
  }
};

struct QueuedRequest {
  ExchangeRef ref;
  SlotRequest request;
  Time queued;
  Time deadline;
};

// Requests of one priority: callers take turns, each caller's in order.
struct CallerQueue {
  struct CallerRequests {
    CallerId caller;
    std::deque<QueuedRequest> requests;
  };
  std::list<CallerRequests> callers;  // The front line has the next turn.
  std::unordered_map<CallerId, std::list<CallerRequests>::iterator> by_caller;
  size_t size = 0;
};

void Push(CallerQueue& queue, QueuedRequest request);

// Next request by turns; nothing if the queue is empty.
std::optional<QueuedRequest> Pop(CallerQueue& queue);

// Puts back a request that could not be served, ahead of its caller's others.
void PushFront(CallerQueue& queue, QueuedRequest request);

// Number of requests that stand before a new one of `caller`.
size_t PositionOf(const CallerQueue& queue, const CallerId& caller);

// Least shares of priorities, as a fluid account of slot time: a class with
// waiting requests earns its share of the slots' time and spends what it
// uses. A class that has earned more than it used goes first.
struct ShareAccounts {
  PerPriority<double> credit_slot_seconds{};  // Slot-seconds, may be negative.
  Time updated;
};

void UpdateShares(ShareAccounts& accounts,
                  const PerPriority<double>& least_shares,
                  const PerPriority<size_t>& waiting,
                  const PerPriority<size_t>& held,
                  double slots,
                  Time now);

// The order in which classes are asked for their next request.
PerPriority<Priority> PriorityOrder(const ShareAccounts& accounts,
                                    const PerPriority<double>& least_shares);

}  // namespace sassafras

#endif  // DECISIONS_FAIR_QUEUE_H_
