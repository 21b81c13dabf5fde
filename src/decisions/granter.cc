#include "decisions/granter.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "decisions/granter_choice.h"

namespace sassafras {

namespace {

using granter_choice::Choice;
using granter_choice::ChooseEndpoint;
using granter_choice::OnShed;
using granter_choice::UsableSlots;

constexpr double kMeanWeight = 0.05;
constexpr Duration kGrantMargin = std::chrono::seconds(2);
constexpr Duration kMinTimerDelay = std::chrono::microseconds(200);
constexpr int64_t kMaxRetryAfterMs = 30000;

PerPriority<size_t> Waiting(const Granter& g) {
  PerPriority<size_t> out{};
  for (const Priority p : kAllPriorities)
    out[IndexOf(p)] = g.queues[IndexOf(p)].size;
  return out;
}

bool IsFromOtherRegion(const Granter& g, const SlotRequest& request) {
  return request.origin != g.region;
}

void AverageUse(Granter& g, Time now) {
  const double elapsed =
      g.mean_held_at == Time() ? 0 : Seconds(now - g.mean_held_at);
  g.mean_held_at = now;
  const double weight =
      1.0 - std::exp(-elapsed / Seconds(g.limits.use_average));
  for (size_t n = 0; n < kPriorityCount; ++n) {
    const auto held = static_cast<double>(g.held[n]);
    g.mean_held[n] += weight * (held - g.mean_held[n]);
  }
}

// Whether requests of class `p` from other regions must be refused because the
// slots in use reach the headroom. Counts only the slots used by class `p` and
// more urgent classes.
bool IsRegionFull(Granter& g, Priority p, Time now) {
  AverageUse(g, now);
  double held = 0;
  for (size_t n = 0; n <= IndexOf(p); ++n)
    held += g.mean_held[n];
  return held > HealthySlots(g, now) * (1.0 - g.headroom);
}

void RecordGrant(Granter& g,
                 const ExchangeRef& ref,
                 const SlotRequest& request,
                 Granter::EndpointState& state,
                 bool suspect,
                 Time now) {
  Granter::Grant grant;
  grant.endpoint = state.endpoint.id;
  grant.request = request;
  grant.granted = now;
  grant.expires =
      now + std::chrono::milliseconds(request.budget_ms) + kGrantMargin;
  grant.suspect = suspect;
  g.grants[ref] = std::move(grant);
  ++g.copies[request.fingerprint][state.endpoint.id];
  state.running.insert(ref);
  state.runs_suspect = state.runs_suspect || suspect;
  if (state.connected.insert(ref.host).second)
    state.next_connect =
        std::max(state.next_connect, now) + g.limits.connect_pace;
  ++g.held[IndexOf(request.priority)];
}

void DropGrant(Granter& g, const ExchangeRef& ref) {
  const auto it = g.grants.find(ref);
  if (it == g.grants.end())
    return;
  const Granter::Grant& grant = it->second;
  const auto state = g.endpoints.find(grant.endpoint);
  if (state != g.endpoints.end()) {
    state->second.running.erase(ref);
    if (grant.suspect)
      state->second.runs_suspect = false;
  }
  const auto copies = g.copies.find(grant.request.fingerprint);
  if (copies != g.copies.end()) {
    const auto count = copies->second.find(grant.endpoint);
    if (count != copies->second.end() && --count->second == 0)
      copies->second.erase(count);
    if (copies->second.empty())
      g.copies.erase(copies);
  }
  --g.held[IndexOf(grant.request.priority)];
  g.grants.erase(it);
}

Envelope GrantMessage(const Granter& g,
                      const ExchangeRef& ref,
                      const Endpoint& endpoint) {
  return {ref.host, SlotGrant{ref.exchange, g.service, g.zone, endpoint.id,
                              endpoint.address}};
}

Envelope RefuseMessage(const ExchangeRef& ref,
                       Refusal reason,
                       Duration retry_after) {
  const int64_t ms =
      std::clamp<int64_t>(Millis(retry_after), 1, kMaxRetryAfterMs);
  return {ref.host, SlotRefusal{ref.exchange, reason, ms}};
}

double MeanUse(const Granter& g, Priority p) {
  const double mean = g.mean_use_seconds[IndexOf(p)];
  return mean > 0 ? mean : Seconds(g.limits.initial_use_estimate);
}

// Time that one grant of class `p` adds to `paced_until`.
Duration PaceCost(const Granter& g, Priority p, Time now) {
  const double slots = std::max(1.0, HealthySlots(g, now));
  return FromSeconds(MeanUse(g, p) / slots / g.limits.pace_factor);
}

// Whether pacing forbids granting a request of class `p` now.
bool IsPaced(const Granter& g, Priority p, Time now) {
  if (p == Priority::kUrgent)
    return false;
  const Duration ahead = g.paced_until - now;
  return Seconds(ahead) > Seconds(PaceCost(g, p, now)) * g.limits.pace_burst;
}

// Fraction of the zone's slots that class `p` can expect: what the minimum
// shares of the other classes with requests leave, and nothing of it while a
// more urgent class has requests waiting, but at least its own minimum share.
double ExpectedShare(const Granter& g, Priority p) {
  const double own = g.least_shares[IndexOf(p)];
  double promised_to_others = 0;
  for (const Priority it : kAllPriorities) {
    if (it == p)
      continue;
    const bool goes_first = IndexOf(it) < IndexOf(p);
    const bool waits =
        g.queues[IndexOf(it)].size > 0 || g.held[IndexOf(it)] > 0;
    if (!waits)
      continue;
    promised_to_others += goes_first && g.queues[IndexOf(it)].size > 0
                              ? 1.0
                              : g.least_shares[IndexOf(it)];
  }
  return std::max(own, 1.0 - promised_to_others);
}

// Expected time until a new request of `caller` in class `p` gets a slot, or
// nullopt if the class gets no slots at all.
std::optional<Duration> ExpectedWait(const Granter& g,
                                     Priority p,
                                     const CallerId& caller,
                                     Time now) {
  const double slots = HealthySlots(g, now) * ExpectedShare(g, p);
  if (slots <= 0)
    return std::nullopt;
  const auto ahead =
      static_cast<double>(PositionOf(g.queues[IndexOf(p)], caller));
  return FromSeconds(ahead * MeanUse(g, p) / slots);
}

bool CannotMeetDeadline(const Granter& g,
                        const SlotRequest& request,
                        std::optional<Duration> wait) {
  if (!wait)
    return true;
  const double budget = static_cast<double>(request.budget_ms) / 1e3;
  const double spare = budget - MeanUse(g, request.priority);
  return Seconds(*wait) > spare * g.limits.wait_share_of_budget &&
         *wait > Duration::zero();
}

// Records a running request that was granted by another granter.
void AdoptRunningRequest(Granter& g,
                         const ExchangeRef& ref,
                         const SlotRequest& request,
                         Time now) {
  if (g.grants.count(ref))
    return;
  const auto it = g.endpoints.find(request.held);
  if (it != g.endpoints.end())
    RecordGrant(g, ref, request, it->second, false, now);
}

bool HasFreeSlot(const Granter& g, Time now) {
  return std::any_of(
      g.endpoints.begin(), g.endpoints.end(), [&](const auto& it) {
        return it.second.running.size() < UsableSlots(g, it.second, now);
      });
}

// Removes and returns the next request of the queue that can still be served.
// Refuses the requests before it that are quarantined or can no longer meet
// their deadline.
std::optional<QueuedRequest> PopServable(Granter& g,
                                         const PoisonList& poison,
                                         Priority p,
                                         Time now,
                                         std::vector<Envelope>& out) {
  const Duration use = FromSeconds(MeanUse(g, p));
  while (std::optional<QueuedRequest> next = Pop(g.queues[IndexOf(p)])) {
    if (g.queued.erase(next->ref) == 0)
      continue;  // Cancelled while it was queued.
    if (next->deadline < now + use / 2) {
      out.push_back(RefuseMessage(next->ref, Refusal::kOverloaded, use));
      continue;
    }
    if (PoisonStatusOf(poison, next->request.fingerprint, now) ==
        PoisonStatus::kQuarantined) {
      out.push_back(
          RefuseMessage(next->ref, Refusal::kQuarantined, Duration::zero()));
      continue;
    }
    return next;
  }
  return std::nullopt;
}

enum class ServeResult { kServed, kBlocked };

// Grants a slot to the next request of class `p` that an endpoint can run now.
// A request that no endpoint can run now does not block those behind it.
ServeResult ServeNext(Granter& g,
                      PoisonList& poison,
                      Priority p,
                      Time now,
                      std::vector<Envelope>& out) {
  if (IsPaced(g, p, now))
    return ServeResult::kBlocked;
  CallerQueue& queue = g.queues[IndexOf(p)];
  std::vector<QueuedRequest> passed_over;
  ServeResult result = ServeResult::kBlocked;
  for (size_t attempts_left = queue.callers.size(); attempts_left > 0;
       --attempts_left) {
    std::optional<QueuedRequest> next = PopServable(g, poison, p, now, out);
    if (!next)
      break;
    const bool suspect = PoisonStatusOf(poison, next->request.fingerprint,
                                        now) == PoisonStatus::kSuspect;
    const Choice choice = ChooseEndpoint(
        g, next->ref.host, next->request.fingerprint, suspect, now);
    if (choice.endpoint) {
      next->request.budget_ms = Millis(next->deadline - now);
      if (p != Priority::kUrgent)
        g.paced_until = std::max(g.paced_until, now) + PaceCost(g, p, now);
      RecordGrant(g, next->ref, next->request, *choice.endpoint, suspect, now);
      out.push_back(GrantMessage(g, next->ref, choice.endpoint->endpoint));
      result = ServeResult::kServed;
      break;
    }
    passed_over.push_back(std::move(*next));
  }
  for (auto it = passed_over.rbegin(); it != passed_over.rend(); ++it) {
    g.queued.insert(it->ref);
    PushFront(queue, std::move(*it));
  }
  return result;
}

void ServeAll(Granter& g,
              PoisonList& poison,
              Time now,
              std::vector<Envelope>& out) {
  if (now - g.active_since < g.limits.takeover_pause)
    return;
  UpdateShares(g.shares, g.least_shares, Waiting(g), g.held,
               HealthySlots(g, now), now);
  bool served = true;
  while (served && HasFreeSlot(g, now)) {
    served = false;
    for (const Priority p : PriorityOrder(g.shares, g.least_shares)) {
      if (g.queues[IndexOf(p)].size == 0)
        continue;
      if (ServeNext(g, poison, p, now, out) == ServeResult::kServed) {
        served = true;
        break;
      }
    }
  }
}

std::set<Fingerprint> FingerprintsOn(const Granter& g,
                                     const EndpointId& endpoint) {
  std::set<Fingerprint> out;
  const auto it = g.endpoints.find(endpoint);
  if (it == g.endpoints.end())
    return out;
  for (const ExchangeRef& ref : it->second.running) {
    const auto grant = g.grants.find(ref);
    if (grant != g.grants.end())
      out.insert(grant->second.request.fingerprint);
  }
  return out;
}

// ID of the endpoint's current crash. All broken connections until its next
// answer count as one crash: an endpoint that breaks every connection proves
// nothing about the requests on it.
DeathId DeathOf(Granter& g, const EndpointId& endpoint) {
  const auto it = g.endpoints.find(endpoint);
  if (it == g.endpoints.end())
    return DeathId(endpoint.value());
  Granter::EndpointState& state = it->second;
  if (state.answered)
    ++state.deaths;
  state.answered = false;
  return DeathId(endpoint.value() + "#" + std::to_string(state.deaths));
}

void NoteAnswered(Granter& g, const EndpointId& endpoint) {
  const auto it = g.endpoints.find(endpoint);
  if (it != g.endpoints.end())
    it->second.answered = true;
}

void UpdateMeanUse(Granter& g, Priority p, const SlotRelease& release) {
  if (release.outcome != SlotOutcome::kAnswered)
    return;
  double& mean = g.mean_use_seconds[IndexOf(p)];
  const double seconds = static_cast<double>(release.held_us) / 1e6;
  mean = mean == 0 ? seconds : mean + kMeanWeight * (seconds - mean);
}

void Audit(Granter& g, Time now, std::vector<Envelope>& out) {
  if (now < g.next_audit)
    return;
  g.next_audit = now + g.limits.audit_after;
  std::map<HostId, SlotAudit> audits;
  std::vector<ExchangeRef> expired;
  for (const auto& [ref, grant] : g.grants) {
    if (grant.expires < now) {
      expired.push_back(ref);
      continue;
    }
    if (now - grant.granted < g.limits.audit_after)
      continue;
    SlotAudit& audit = audits[ref.host];
    audit.service = g.service;
    audit.zone = g.zone;
    audit.exchanges.push_back(ref.exchange);
  }
  for (const ExchangeRef& it : expired)
    DropGrant(g, it);
  for (auto& [host, audit] : audits)
    out.push_back({host, std::move(audit)});
}

}  // namespace

void SetEndpoints(Granter& g, const std::vector<Endpoint>& list, Time now) {
  std::set<EndpointId> named;
  for (const Endpoint& it : list) {
    named.insert(it.id);
    const auto [state, added] = g.endpoints.try_emplace(it.id);
    const bool moved = !added && state->second.endpoint.address != it.address;
    if (moved) {
      state->second.connected.clear();
      g.health.erase(it.id);
    }
    if (added || moved)
      state->second.observed_slots = it.slots;
    state->second.endpoint = it;
    const auto [health, fresh] = g.health.try_emplace(it.id);
    // An endpoint that is added later starts cold. The endpoints of the first
    // list were in service before this granter started.
    if (fresh && now - g.active_since > g.limits.takeover_pause)
      health->second.warm_since = now;
  }
  for (auto it = g.endpoints.begin(); it != g.endpoints.end();) {
    if (named.count(it->first)) {
      ++it;
      continue;
    }
    it->second.endpoint.leaving = true;
    g.health.erase(it->first);
    if (it->second.running.empty())
      it = g.endpoints.erase(it);
    else
      ++it;
  }
}

std::vector<Envelope> OnSlotRequest(Granter& g,
                                    PoisonList& poison,
                                    const HostId& from,
                                    const SlotRequest& request,
                                    Time now) {
  std::vector<Envelope> out;
  const ExchangeRef ref{from, request.exchange};
  if (!request.held.empty()) {
    AdoptRunningRequest(g, ref, request, now);
    return out;
  }
  const auto grant = g.grants.find(ref);
  if (grant != g.grants.end()) {
    const auto state = g.endpoints.find(grant->second.endpoint);
    if (state != g.endpoints.end())
      out.push_back(GrantMessage(g, ref, state->second.endpoint));
    return out;
  }
  if (g.queued.count(ref))
    return out;
  if (PoisonStatusOf(poison, request.fingerprint, now) ==
      PoisonStatus::kQuarantined) {
    out.push_back(RefuseMessage(ref, Refusal::kQuarantined, Duration::zero()));
    return out;
  }
  if (HealthySlots(g, now) <= 0) {
    out.push_back(
        RefuseMessage(ref, Refusal::kNoEndpoint, std::chrono::seconds(1)));
    return out;
  }
  if (IsFromOtherRegion(g, request) && IsRegionFull(g, request.priority, now)) {
    out.push_back(
        RefuseMessage(ref, Refusal::kRegionFull, std::chrono::seconds(1)));
    return out;
  }
  const auto wait = ExpectedWait(g, request.priority, request.caller, now);
  if (CannotMeetDeadline(g, request, wait) ||
      g.queued.size() >= g.limits.max_queue) {
    out.push_back(RefuseMessage(ref, Refusal::kOverloaded,
                                wait.value_or(std::chrono::seconds(1))));
    return out;
  }
  QueuedRequest queued;
  queued.ref = ref;
  queued.request = request;
  queued.queued = now;
  queued.deadline = now + std::chrono::milliseconds(request.budget_ms);
  g.queued.insert(ref);
  Push(g.queues[IndexOf(request.priority)], std::move(queued));
  ServeAll(g, poison, now, out);
  return out;
}

std::vector<Envelope> OnSlotRelease(Granter& g,
                                    PoisonList& poison,
                                    const HostId& from,
                                    const SlotRelease& release,
                                    Time now,
                                    std::vector<PoisonNotice>& notices) {
  std::vector<Envelope> out;
  AverageUse(g, now);
  const ExchangeRef ref{from, release.exchange};
  g.queued.erase(ref);
  const auto it = g.grants.find(ref);
  if (it != g.grants.end()) {
    const Granter::Grant grant = it->second;
    if (release.outcome == SlotOutcome::kBroken) {
      const auto died = OnEndpointDied(poison, DeathOf(g, grant.endpoint),
                                       FingerprintsOn(g, grant.endpoint), now);
      notices.insert(notices.end(), died.begin(), died.end());
    }
    if (release.outcome == SlotOutcome::kAnswered)
      NoteAnswered(g, grant.endpoint);
    if (release.outcome == SlotOutcome::kShed)
      OnShed(g, grant.endpoint, now);
    if (release.outcome == SlotOutcome::kAnswered && grant.suspect)
      ClearSuspect(poison, grant.request.fingerprint);
    Observe(g.health, g.limits.health, grant.endpoint, release.outcome,
            std::chrono::microseconds(release.held_us), now);
    UpdateMeanUse(g, grant.request.priority, release);
    DropGrant(g, ref);
  }
  ServeAll(g, poison, now, out);
  return out;
}

void OnHostDied(Granter& g, const HostId& host) {
  std::vector<ExchangeRef> refs;
  for (const auto& [ref, grant] : g.grants) {
    if (ref.host == host)
      refs.push_back(ref);
  }
  for (const ExchangeRef& it : refs)
    DropGrant(g, it);
  refs.clear();
  for (const ExchangeRef& it : g.queued) {
    if (it.host == host)
      refs.push_back(it);
  }
  for (const ExchangeRef& it : refs)
    g.queued.erase(it);
  for (auto& [id, state] : g.endpoints)
    state.connected.erase(host);
}

std::vector<Envelope> OnGranterTick(Granter& g, PoisonList& poison, Time now) {
  std::vector<Envelope> out;
  AverageUse(g, now);
  Audit(g, now, out);
  ServeAll(g, poison, now, out);
  return out;
}

bool HasWaiting(const Granter& g) {
  return !g.queued.empty();
}

Time NextPacedGrant(const Granter& g, Time latest, Time now) {
  Time next = latest;
  for (const Priority p : {Priority::kNormal, Priority::kLow}) {
    if (g.queues[IndexOf(p)].size == 0 || !IsPaced(g, p, now))
      continue;
    const Duration burst =
        FromSeconds(Seconds(PaceCost(g, p, now)) * g.limits.pace_burst);
    next = std::min(next, g.paced_until - burst);
  }
  return std::max(next, now + kMinTimerDelay);
}

}  // namespace sassafras
