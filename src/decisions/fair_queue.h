// Queues of the requests that wait for a slot of one service and zone, by
// priority. Within a priority, callers are served round-robin, so that a
// caller with many requests does not delay those of others.
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

// Identifies an exchange and its entry host to other hosts.
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

// Requests of one priority: round-robin between callers, first in first out
// for each caller.
struct CallerQueue {
  struct CallerRequests {
    CallerId caller;
    std::deque<QueuedRequest> requests;
  };
  std::list<CallerRequests> callers;  // The front one is served next.
  std::unordered_map<CallerId, std::list<CallerRequests>::iterator> by_caller;
  size_t size = 0;
};

void Push(CallerQueue& queue, QueuedRequest request);

// Removes and returns the first request of the caller whose turn it is;
// nullopt if the queue is empty.
std::optional<QueuedRequest> Pop(CallerQueue& queue);

// Puts back a request that could not be served, before its caller's others.
void PushFront(CallerQueue& queue, QueuedRequest request);

// Upper bound of the number of requests served before a new one of `caller`.
size_t PositionOf(const CallerQueue& queue, const CallerId& caller);

// Credit accounts that enforce the minimum shares of the priorities. A class
// with waiting requests earns its share of the slot time and spends the slot
// time that it uses. Classes with a positive balance are served first.
struct ShareAccounts {
  PerPriority<double> credit_slot_seconds{};  // May be negative.
  Time updated;
};

void UpdateShares(ShareAccounts& accounts,
                  const PerPriority<double>& least_shares,
                  const PerPriority<size_t>& waiting,
                  const PerPriority<size_t>& held,
                  double slots,
                  Time now);

// Order in which the classes are served: those with credit first, and
// otherwise by priority.
PerPriority<Priority> PriorityOrder(const ShareAccounts& accounts,
                                    const PerPriority<double>& least_shares);

}  // namespace sassafras

#endif  // DECISIONS_FAIR_QUEUE_H_
