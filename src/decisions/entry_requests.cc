#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/http_status.h"
#include "decisions/entry_parts.h"

namespace sassafras::entry_parts {

namespace {

constexpr Duration kNotHolderRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kCapacityRetryAfter = std::chrono::seconds(5);
constexpr Duration kOutcomeResendPeriod = std::chrono::milliseconds(400);
constexpr double kSampleWeight = 0.1;

Exchange* FindExchange(EntryNode& node, ExchangeId id) {
  const auto it = node.exchanges.find(id);
  return it == node.exchanges.end() ? nullptr : &it->second;
}

void Close(EventRun& run, const Exchange& ex) {
  run.node.exchanges.erase(ExchangeId(ex.id));
}

// Answers the caller with an error, unless the caller has disconnected, and
// closes the exchange.
void Refuse(EventRun& run, const Exchange& ex, Problem problem) {
  if (!ex.caller_gone)
    run.actions.push_back(RefuseCall{ex.id, std::move(problem)});
  Close(run, ex);
}

void SendOutcome(EventRun& run, PendingOutcome& pending) {
  const KeyHome& home = pending.complete.home;
  pending.next_send = run.now + kOutcomeResendPeriod;
  const auto it = run.node.views.find(home.region);
  if (it == run.node.views.end())
    return;
  const HostId& primary =
      it->second.shards[static_cast<size_t>(home.shard)].primary;
  Send(run, primary, pending.complete);
}

// Sends the outcome of an exchange with an idempotency key to the primary of
// the key's shard. Resends it until it is confirmed or `outcome_retention` has
// passed.
void ReportOutcome(EventRun& run,
                   const Exchange& ex,
                   RecordState state,
                   bool answer_kept,
                   const StoredAnswer& answer) {
  if (ex.key.empty())
    return;
  PendingOutcome pending;
  pending.complete.exchange = ex.id;
  pending.complete.home = ex.home;
  pending.complete.key = ex.key;
  pending.complete.state = state;
  pending.complete.answer_kept = answer_kept;
  pending.complete.answer = answer;
  pending.expires = run.now + run.node.limits.outcome_retention;
  PendingOutcome& kept = run.node.outcomes[ex.id] = std::move(pending);
  SendOutcome(run, kept);
}

void WithdrawKey(EventRun& run, const Exchange& ex) {
  ReportOutcome(run, ex, RecordState::kWithdrawn, false, {});
}

void Release(EventRun& run, const Exchange& ex, SlotOutcome outcome) {
  SlotRelease release;
  release.exchange = ex.id;
  release.service = ex.service;
  release.zone = ex.zone;
  release.outcome = outcome;
  if (ex.dispatched != Time())
    release.held_us = (run.now - ex.dispatched).count();
  Send(run, ex.granter, std::move(release));
}

// Refuses a call that was allowed to run but did not run in its last try: it
// was not dispatched, or the outcome proves that the endpoint did not run it.
// Reports the call as not run and withdraws its key.
void RefuseNotRun(EventRun& run, const Exchange& ex, Problem problem) {
  problem.ran = Ran::kNo;
  WithdrawKey(run, ex);
  Refuse(run, ex, std::move(problem));
}

HostId HolderForKey(const EventRun& run, const KeyHome& home) {
  const auto it = run.node.views.find(home.region);
  if (it == run.node.views.end())
    return HostId();
  const ShardView& view = it->second.shards[static_cast<size_t>(home.shard)];
  const Membership& m = run.node.membership;
  const bool primary_dead =
      StateOf(m, view.primary, run.now) == HostState::kDead;
  const bool backup_answers =
      !view.backup.empty() &&
      StateOf(m, view.backup, run.now) != HostState::kDead;
  return primary_dead && backup_answers ? view.backup : view.primary;
}

void SendKeyBegin(EventRun& run, Exchange& ex) {
  ex.phase = Exchange::Phase::kKey;
  ex.asked = run.now;
  ex.holder = HolderForKey(run, ex.home);
  if (ex.holder.empty())
    return;  // The shard's view is not known yet; TickKey() retries.
  KeyBegin begin;
  begin.exchange = ex.id;
  begin.home = ex.home;
  begin.key = ex.key;
  begin.body = ex.body;
  Send(run, ex.holder, std::move(begin));
}

// Draw, in [0, 1), with which PickTarget() selects the request's target zone
// from the service's FlowRow. Requests with the same fingerprint go to the same
// zone as long as the row does not change; a retry gets another draw.
double DrawOf(const Exchange& ex) {
  const uint64_t tries = static_cast<uint64_t>(ex.tries);
  return UnitInterval(HashPair(ex.fingerprint.value(), tries));
}

void SendSlotRequest(EventRun& run, Exchange& ex, const EndpointId& held) {
  SlotRequest request;
  request.exchange = ex.id;
  request.service = ex.service;
  request.zone = ex.zone;
  request.origin = run.node.self.region;
  request.priority = ex.route.priority;
  request.caller = ex.caller;
  request.fingerprint = ex.fingerprint;
  request.budget_ms = std::max<int64_t>(0, Millis(ex.deadline - run.now));
  request.held = held;
  ex.asked = run.now;
  Send(run, ex.granter, std::move(request));
}

void RequestSlot(EventRun& run, Exchange& ex) {
  ex.phase = Exchange::Phase::kSlot;
  const auto routing = run.node.routing.find(ex.service);
  std::optional<ZoneId> zone;
  if (routing != run.node.routing.end())
    zone = PickTarget(routing->second.row, DrawOf(ex));
  if (!zone) {
    RefuseNotRun(run, ex,
                 {kHttpServiceUnavailable, "no_endpoint", Ran::kNo,
                  kCapacityRetryAfter});
    return;
  }
  ex.zone = *zone;
  ex.granter = GranterOf(run.node, ex.service, ex.zone, run.now);
  SendSlotRequest(run, ex, EndpointId());
}

bool IsAdmitted(EntryNode& node, const CallArrived& call) {
  const auto it = node.routing.find(call.service);
  if (it == node.routing.end())
    return true;
  const double part = it->second.shares.admitted[IndexOf(call.route.priority)];
  return part >= 1.0 || UnitInterval(node.random()) < part;
}

Problem RefusalProblem(const SlotRefusal& refusal) {
  Problem problem;
  problem.status = refusal.reason == Refusal::kQuarantined
                       ? kHttpUnprocessableContent
                       : kHttpServiceUnavailable;
  problem.code = std::string(NameOf(refusal.reason));
  problem.ran = Ran::kNo;
  problem.retry_after = std::chrono::milliseconds(refusal.retry_after_ms);
  return problem;
}

Problem VerdictProblem(const KeyRefusal& refusal) {
  Problem problem;
  problem.code = std::string(NameOf(refusal.verdict));
  problem.ran = refusal.not_run ? Ran::kNo : Ran::kUnknown;
  switch (refusal.verdict) {
    case KeyVerdict::kNotHolder:
    case KeyVerdict::kNoBackup:
    case KeyVerdict::kFull:
      problem.status = kHttpServiceUnavailable;
      problem.retry_after = std::chrono::seconds(2);
      return problem;
    case KeyVerdict::kBodyDiffers:
      // The key belongs to a request with another body. A request with this key
      // and this body has never run and never will.
      problem.status = kHttpUnprocessableContent;
      problem.ran = Ran::kNo;
      return problem;
    case KeyVerdict::kUnknown:
      problem.status = kHttpConflict;
      return problem;
    case KeyVerdict::kInProgress:
      problem.status = kHttpConflict;
      problem.retry_after = std::chrono::seconds(1);
      return problem;
    case KeyVerdict::kAnswerNotKept:
      problem.status = kHttpConflict;
      problem.ran = Ran::kYes;
      return problem;
  }
  return problem;
}

Duration WithdrawMargin(const EntryNode& node, const Exchange& ex) {
  constexpr int kMinTimeoutInMargins = 5;
  return std::min(node.limits.withdraw_margin,
                  (ex.deadline - ex.arrived) / kMinTimeoutInMargins);
}

void TickKey(EventRun& run, Exchange& ex) {
  if (run.now >= ex.deadline - WithdrawMargin(run.node, ex)) {
    ex.phase = Exchange::Phase::kWithdrawing;
    WithdrawKey(run, ex);
    return;
  }
  if (run.now - ex.asked >= run.node.limits.resend_after)
    SendKeyBegin(run, ex);
}

void TickSlot(EventRun& run, Exchange& ex) {
  if (run.now >= ex.deadline) {
    Release(run, ex, SlotOutcome::kUnused);
    RefuseNotRun(run, ex, {kHttpGatewayTimeout, "deadline", Ran::kNo, {}});
    return;
  }
  const HostId granter = GranterOf(run.node, ex.service, ex.zone, run.now);
  const bool late = run.now - ex.asked >= run.node.limits.resend_after;
  if (granter == ex.granter && !late)
    return;
  ex.granter = granter;
  SendSlotRequest(run, ex, EndpointId());
}

void TickRunning(EventRun& run, Exchange& ex) {
  const HostId granter = GranterOf(run.node, ex.service, ex.zone, run.now);
  if (granter == ex.granter)
    return;
  ex.granter = granter;
  SendSlotRequest(run, ex, ex.endpoint);
}

void TickWithdrawing(EventRun& run, Exchange& ex) {
  if (run.now >= ex.deadline)
    Refuse(run, ex, {kHttpGatewayTimeout, "deadline", Ran::kUnknown, {}});
}

void TickExchange(EventRun& run, Exchange& ex) {
  switch (ex.phase) {
    case Exchange::Phase::kKey:
      TickKey(run, ex);
      return;
    case Exchange::Phase::kSlot:
      TickSlot(run, ex);
      return;
    case Exchange::Phase::kRunning:
      TickRunning(run, ex);
      return;
    case Exchange::Phase::kWithdrawing:
      TickWithdrawing(run, ex);
      return;
  }
}

void UpdateServiceSeconds(EntryNode& node, const Exchange& ex, Time now) {
  DemandCounter& counter = node.demand[{ex.service, ex.route.priority}];
  const double seconds = Seconds(now - ex.dispatched);
  counter.service_seconds =
      counter.service_seconds == 0
          ? seconds
          : counter.service_seconds +
                kSampleWeight * (seconds - counter.service_seconds);
}

// Ends an exchange after the endpoint's complete answer, which has already been
// passed on to the caller unless the caller has disconnected.
void EndAnswered(EventRun& run,
                 const Exchange& ex,
                 const DispatchEnded& ended) {
  ReportOutcome(run, ex, RecordState::kFinished, ended.answer_kept,
                ended.answer);
  Close(run, ex);
}

// Ends an exchange whose last try has ended without a complete answer.
void EndWithoutAnswer(EventRun& run,
                      const Exchange& ex,
                      const DispatchEnded& ended) {
  if (ProvesNotRun(ended.outcome)) {
    RefuseNotRun(run, ex,
                 {kHttpServiceUnavailable, "endpoint_refused", Ran::kNo,
                  std::chrono::seconds(1)});
    return;
  }
  ReportOutcome(run, ex, RecordState::kUnknown, false, {});
  if (ended.outcome == SlotOutcome::kTimedOut)
    Refuse(run, ex, {kHttpGatewayTimeout, "deadline", Ran::kUnknown, {}});
  else
    Refuse(run, ex, {kHttpBadGateway, "endpoint_broken", Ran::kUnknown, {}});
}

}  // namespace

void HandleCallArrived(EventRun& run, const CallArrived& call) {
  EntryNode& node = run.node;
  Exchange ex;
  ex.id = call.exchange;
  ex.service = call.service;
  ex.route = call.route;
  ex.caller = call.caller;
  ex.key = call.key;
  ex.fingerprint = call.fingerprint;
  ex.body = call.body;
  ex.arrived = run.now;
  ex.deadline = run.now + call.timeout;
  if (!ex.key.empty())
    ex.home = HomeOfKey(ex.key, node.topology.regions);
  Exchange& kept = node.exchanges[ex.id] = std::move(ex);
  if (!IsReady(node)) {
    Refuse(run, kept,
           {kHttpServiceUnavailable, "not_ready", Ran::kNo,
            std::chrono::seconds(1)});
    return;
  }
  node.demand[{kept.service, kept.route.priority}].arrivals += 1;
  OnFirstTry(node.retries);
  if (!kept.key.empty()) {
    // A request with a key is not subject to admission: if it has already run,
    // it is answered from the key's record under any load.
    SendKeyBegin(run, kept);
    return;
  }
  if (!IsAdmitted(node, call)) {
    Refuse(run, kept,
           {kHttpServiceUnavailable, "capacity_lost", Ran::kNo,
            kCapacityRetryAfter});
    return;
  }
  RequestSlot(run, kept);
}

void HandleCallerGone(EventRun& run, const CallerGone& gone) {
  Exchange* ex = FindExchange(run.node, gone.exchange);
  if (!ex)
    return;
  ex->caller_gone = true;
  switch (ex->phase) {
    case Exchange::Phase::kKey:
      WithdrawKey(run, *ex);
      Close(run, *ex);
      return;
    case Exchange::Phase::kWithdrawing:
      Close(run, *ex);
      return;
    case Exchange::Phase::kSlot:
      Release(run, *ex, SlotOutcome::kUnused);
      WithdrawKey(run, *ex);
      Close(run, *ex);
      return;
    case Exchange::Phase::kRunning:
      // A request with a key continues to run, so that the caller gets its
      // answer when it repeats the request.
      if (!ex->key.empty())
        return;
      run.actions.push_back(CancelDispatch{ex->id});
      Release(run, *ex, SlotOutcome::kCancelled);
      Close(run, *ex);
      return;
  }
}

void HandleDispatchEnded(EventRun& run, const DispatchEnded& ended) {
  Exchange* ex = FindExchange(run.node, ended.exchange);
  if (!ex || ex->phase != Exchange::Phase::kRunning)
    return;
  Release(run, *ex, ended.outcome);
  if (ended.outcome == SlotOutcome::kAnswered)
    UpdateServiceSeconds(run.node, *ex, run.now);
  if (ended.outcome == SlotOutcome::kAnswered ||
      ended.outcome == SlotOutcome::kFailed) {
    EndAnswered(run, *ex, ended);
    return;
  }
  TryResult last_try;
  last_try.outcome = ended.outcome;
  last_try.priority = ex->route.priority;
  last_try.idempotent = ex->route.idempotent && ex->key.empty();
  last_try.replayable = ended.replayable;
  last_try.answer_begun = ended.answer_begun;
  last_try.tries = ex->tries;
  last_try.time_left = ex->deadline - run.now;
  if (MayRetry(run.node.retries, last_try)) {
    RequestSlot(run, *ex);
    return;
  }
  EndWithoutAnswer(run, *ex, ended);
}

void HandleSlotGrant(EventRun& run,
                     const HostId& from,
                     const SlotGrant& grant) {
  Exchange* ex = FindExchange(run.node, grant.exchange);
  const bool wanted = ex && ex->phase == Exchange::Phase::kSlot &&
                      ex->zone == grant.zone && run.now < ex->deadline;
  if (!wanted) {
    const bool runs = ex && ex->phase == Exchange::Phase::kRunning &&
                      ex->granter == from && ex->zone == grant.zone;
    if (runs)
      return;  // A repeated grant.
    SlotRelease release;
    release.exchange = grant.exchange;
    release.service = grant.service;
    release.zone = grant.zone;
    Send(run, from, std::move(release));
    return;
  }
  ex->phase = Exchange::Phase::kRunning;
  ex->granter = from;
  ex->endpoint = grant.endpoint;
  ex->dispatched = run.now;
  ++ex->tries;
  run.actions.push_back(
      Dispatch{ex->id, grant.endpoint, grant.address, ex->deadline - run.now});
}

void HandleSlotRefusal(EventRun& run, const SlotRefusal& refusal) {
  Exchange* ex = FindExchange(run.node, refusal.exchange);
  if (!ex || ex->phase != Exchange::Phase::kSlot)
    return;
  RefuseNotRun(run, *ex, RefusalProblem(refusal));
}

void HandleSlotAudit(EventRun& run,
                     const HostId& from,
                     const SlotAudit& audit) {
  for (const ExchangeId it : audit.exchanges) {
    const Exchange* ex = FindExchange(run.node, it);
    if (ex && ex->service == audit.service && ex->zone == audit.zone)
      continue;
    SlotRelease release;
    release.exchange = it;
    release.service = audit.service;
    release.zone = audit.zone;
    Send(run, from, std::move(release));
  }
}

void HandleKeyGrant(EventRun& run, const KeyGrant& grant) {
  EntryNode& node = run.node;
  Exchange* ex = FindExchange(node, grant.exchange);
  if (ex && ex->phase == Exchange::Phase::kKey && run.now < ex->deadline) {
    RequestSlot(run, *ex);
    return;
  }
  if (ex || node.outcomes.count(grant.exchange))
    return;
  // A key grant for an exchange that was closed before its dispatch is returned
  // by withdrawing the key. An exchange of an earlier incarnation, before this
  // host restarted, may have dispatched its request, so its key must not be
  // withdrawn.
  const uint64_t incarnation = IncarnationOf(grant.exchange);
  if (incarnation != node.membership.incarnation)
    return;
  Exchange closed;
  closed.id = grant.exchange;
  closed.key = grant.key;
  closed.home = grant.home;
  WithdrawKey(run, closed);
}

void HandleKeyRefusal(EventRun& run, const KeyRefusal& refusal) {
  Exchange* ex = FindExchange(run.node, refusal.exchange);
  if (!ex || ex->phase != Exchange::Phase::kKey)
    return;
  if (refusal.verdict == KeyVerdict::kNotHolder) {
    ex->asked = run.now - run.node.limits.resend_after + kNotHolderRetryDelay;
    return;
  }
  Refuse(run, *ex, VerdictProblem(refusal));
}

void HandleKeyAnswer(EventRun& run, const KeyAnswer& answer) {
  Exchange* ex = FindExchange(run.node, answer.exchange);
  if (!ex)
    return;
  if (ex->phase != Exchange::Phase::kKey &&
      ex->phase != Exchange::Phase::kWithdrawing) {
    return;
  }
  run.actions.push_back(AnswerCall{ex->id, answer.answer});
  Close(run, *ex);
}

void HandleKeyCompleted(EventRun& run, const KeyCompleted& completed) {
  run.node.outcomes.erase(completed.exchange);
  Exchange* ex = FindExchange(run.node, completed.exchange);
  if (!ex || ex->phase != Exchange::Phase::kWithdrawing)
    return;
  const Ran ran = completed.not_run ? Ran::kNo : Ran::kUnknown;
  Refuse(run, *ex, {kHttpGatewayTimeout, "deadline", ran, {}});
}

void RequestsTick(EventRun& run) {
  std::vector<ExchangeId> ids;
  ids.reserve(run.node.exchanges.size());
  for (const auto& [id, ex] : run.node.exchanges)
    ids.push_back(id);
  for (const ExchangeId it : ids) {
    if (Exchange* ex = FindExchange(run.node, it))
      TickExchange(run, *ex);
  }
  auto& outcomes = run.node.outcomes;
  for (auto it = outcomes.begin(); it != outcomes.end();) {
    if (it->second.expires <= run.now) {
      it = outcomes.erase(it);
      continue;
    }
    if (it->second.next_send <= run.now)
      SendOutcome(run, it->second);
    ++it;
  }
}

}  // namespace sassafras::entry_parts
