#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/http_status.h"
#include "decisions/entry_parts.h"

namespace sassafras::entry_parts {

namespace {

constexpr Duration kNotHolderPause = std::chrono::milliseconds(50);
constexpr Duration kCapacityRetryAfter = std::chrono::seconds(5);
constexpr Duration kOutcomeRepeat = std::chrono::milliseconds(400);
constexpr double kMeanWeight = 0.1;

Exchange* FindExchange(EntryNode& node, ExchangeId id) {
  const auto it = node.exchanges.find(id);
  return it == node.exchanges.end() ? nullptr : &it->second;
}

void Close(Turn& turn, const Exchange& ex) {
  turn.node.exchanges.erase(ExchangeId(ex.id));
}

// Answers the caller with an error and closes the exchange.
void Refuse(Turn& turn, const Exchange& ex, Problem problem) {
  if (!ex.caller_gone)
    turn.actions.push_back(RefuseCall{ex.id, std::move(problem)});
  Close(turn, ex);
}

void SendOutcome(Turn& turn, PendingOutcome& pending) {
  const KeyHome& home = pending.complete.home;
  pending.next_send = turn.now + kOutcomeRepeat;
  const auto it = turn.node.views.find(home.region);
  if (it == turn.node.views.end())
    return;
  const HostId& primary =
      it->second.shards[static_cast<size_t>(home.shard)].primary;
  Send(turn, primary, pending.complete);
}

// Tells the holders of the key how the exchange ended, until they confirm.
void ReportOutcome(Turn& turn,
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
  pending.expires = turn.now + turn.node.limits.outcome_retention;
  PendingOutcome& kept = turn.node.outcomes[ex.id] = std::move(pending);
  SendOutcome(turn, kept);
}

void WithdrawKey(Turn& turn, const Exchange& ex) {
  ReportOutcome(turn, ex, RecordState::kWithdrawn, false, {});
}

void Release(Turn& turn, const Exchange& ex, SlotOutcome outcome) {
  SlotRelease release;
  release.exchange = ex.id;
  release.service = ex.service;
  release.zone = ex.zone;
  release.outcome = outcome;
  if (ex.dispatched != Time())
    release.held_us = (turn.now - ex.dispatched).count();
  Send(turn, ex.granter, std::move(release));
}

// Ends an exchange that has permission to run but did not run.
void RefuseNotRun(Turn& turn, const Exchange& ex, Problem problem) {
  problem.ran = Ran::kNo;
  WithdrawKey(turn, ex);
  Refuse(turn, ex, std::move(problem));
}

HostId HolderToAsk(const Turn& turn, const KeyHome& home) {
  const auto it = turn.node.views.find(home.region);
  if (it == turn.node.views.end())
    return HostId();
  const ShardView& view = it->second.shards[static_cast<size_t>(home.shard)];
  const Membership& m = turn.node.membership;
  const bool primary_dead =
      StateOf(m, view.primary, turn.now) == HostState::kDead;
  const bool backup_answers =
      !view.backup.empty() &&
      StateOf(m, view.backup, turn.now) != HostState::kDead;
  return primary_dead && backup_answers ? view.backup : view.primary;
}

void AskKey(Turn& turn, Exchange& ex) {
  ex.phase = Exchange::Phase::kKey;
  ex.asked = turn.now;
  ex.holder = HolderToAsk(turn, ex.home);
  if (ex.holder.empty())
    return;  // No views yet; asked again by the tick.
  KeyBegin begin;
  begin.exchange = ex.id;
  begin.home = ex.home;
  begin.key = ex.key;
  begin.body = ex.body;
  Send(turn, ex.holder, std::move(begin));
}

// The same request goes to the same zone while the flows stand; a repeated
// try draws anew.
double DrawOf(const Exchange& ex) {
  const uint64_t tries = static_cast<uint64_t>(ex.tries);
  return UnitInterval(HashPair(ex.fingerprint.value(), tries));
}

void SendSlotRequest(Turn& turn, Exchange& ex, const EndpointId& held) {
  SlotRequest request;
  request.exchange = ex.id;
  request.service = ex.service;
  request.zone = ex.zone;
  request.origin = turn.node.self.region;
  request.priority = ex.route.priority;
  request.caller = ex.caller;
  request.fingerprint = ex.fingerprint;
  request.budget_ms = std::max<int64_t>(0, Millis(ex.deadline - turn.now));
  request.held = held;
  ex.asked = turn.now;
  Send(turn, ex.granter, std::move(request));
}

void AskSlot(Turn& turn, Exchange& ex) {
  ex.phase = Exchange::Phase::kSlot;
  const auto routing = turn.node.routing.find(ex.service);
  std::optional<ZoneId> zone;
  if (routing != turn.node.routing.end())
    zone = PickTarget(routing->second.row, DrawOf(ex));
  if (!zone) {
    RefuseNotRun(turn, ex,
                 {kHttpServiceUnavailable, "no_endpoint", Ran::kNo,
                  kCapacityRetryAfter});
    return;
  }
  ex.zone = *zone;
  ex.granter = GranterOf(turn.node, ex.service, ex.zone, turn.now);
  SendSlotRequest(turn, ex, EndpointId());
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
      // The request with this body has not run and never will.
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
    case KeyVerdict::kAnswerGone:
      problem.status = kHttpConflict;
      problem.ran = Ran::kYes;
      return problem;
  }
  return problem;
}

Duration WithdrawMargin(const EntryNode& node, const Exchange& ex) {
  constexpr int kLeastParts = 5;
  return std::min(node.limits.withdraw_margin,
                  (ex.deadline - ex.arrived) / kLeastParts);
}

void TickKey(Turn& turn, Exchange& ex) {
  if (turn.now >= ex.deadline - WithdrawMargin(turn.node, ex)) {
    ex.phase = Exchange::Phase::kWithdrawing;
    WithdrawKey(turn, ex);
    return;
  }
  if (turn.now - ex.asked >= turn.node.limits.ask_again_after)
    AskKey(turn, ex);
}

void TickSlot(Turn& turn, Exchange& ex) {
  if (turn.now >= ex.deadline) {
    Release(turn, ex, SlotOutcome::kUnused);
    RefuseNotRun(turn, ex, {kHttpGatewayTimeout, "deadline", Ran::kNo, {}});
    return;
  }
  const HostId granter = GranterOf(turn.node, ex.service, ex.zone, turn.now);
  const bool late = turn.now - ex.asked >= turn.node.limits.ask_again_after;
  if (granter == ex.granter && !late)
    return;
  ex.granter = granter;
  SendSlotRequest(turn, ex, EndpointId());
}

void TickRunning(Turn& turn, Exchange& ex) {
  const HostId granter = GranterOf(turn.node, ex.service, ex.zone, turn.now);
  if (granter == ex.granter)
    return;
  ex.granter = granter;
  SendSlotRequest(turn, ex, ex.endpoint);
}

void TickWithdrawing(Turn& turn, Exchange& ex) {
  if (turn.now >= ex.deadline)
    Refuse(turn, ex, {kHttpGatewayTimeout, "deadline", Ran::kUnknown, {}});
}

void TickExchange(Turn& turn, Exchange& ex) {
  switch (ex.phase) {
    case Exchange::Phase::kKey:
      TickKey(turn, ex);
      return;
    case Exchange::Phase::kSlot:
      TickSlot(turn, ex);
      return;
    case Exchange::Phase::kRunning:
      TickRunning(turn, ex);
      return;
    case Exchange::Phase::kWithdrawing:
      TickWithdrawing(turn, ex);
      return;
  }
}

void LearnUse(EntryNode& node, const Exchange& ex, Time now) {
  DemandCounter& counter = node.demand[{ex.service, ex.route.priority}];
  const double seconds = Seconds(now - ex.dispatched);
  counter.service_seconds =
      counter.service_seconds == 0
          ? seconds
          : counter.service_seconds +
                kMeanWeight * (seconds - counter.service_seconds);
}

// The endpoint has answered in whole; the caller has the answer.
void EndAnswered(Turn& turn, const Exchange& ex, const DispatchEnded& ended) {
  ReportOutcome(turn, ex, RecordState::kFinished, ended.answer_kept,
                ended.answer);
  Close(turn, ex);
}

// The endpoint gave no whole answer and there is no further try.
void EndUnanswered(Turn& turn, const Exchange& ex, const DispatchEnded& ended) {
  if (ProvesNotRun(ended.outcome)) {
    RefuseNotRun(turn, ex,
                 {kHttpServiceUnavailable, "endpoint_refused", Ran::kNo,
                  std::chrono::seconds(1)});
    return;
  }
  ReportOutcome(turn, ex, RecordState::kUnknown, false, {});
  if (ended.outcome == SlotOutcome::kTimedOut)
    Refuse(turn, ex, {kHttpGatewayTimeout, "deadline", Ran::kUnknown, {}});
  else
    Refuse(turn, ex, {kHttpBadGateway, "endpoint_broken", Ran::kUnknown, {}});
}

}  // namespace

void BeginCall(Turn& turn, const CallArrived& call) {
  EntryNode& node = turn.node;
  Exchange ex;
  ex.id = call.exchange;
  ex.service = call.service;
  ex.route = call.route;
  ex.caller = call.caller;
  ex.key = call.key;
  ex.fingerprint = call.fingerprint;
  ex.body = call.body;
  ex.arrived = turn.now;
  ex.deadline = turn.now + call.timeout;
  if (!ex.key.empty())
    ex.home = HomeOfKey(ex.key, node.topology.regions);
  Exchange& kept = node.exchanges[ex.id] = std::move(ex);
  if (!IsReady(node)) {
    Refuse(turn, kept,
           {kHttpServiceUnavailable, "not_ready", Ran::kNo,
            std::chrono::seconds(1)});
    return;
  }
  node.demand[{kept.service, kept.route.priority}].arrivals += 1;
  OnFirstTry(node.retries);
  if (!kept.key.empty()) {
    // A key that has run before is answered from its record, whatever the
    // load is.
    AskKey(turn, kept);
    return;
  }
  if (!IsAdmitted(node, call)) {
    Refuse(turn, kept,
           {kHttpServiceUnavailable, "capacity_lost", Ran::kNo,
            kCapacityRetryAfter});
    return;
  }
  AskSlot(turn, kept);
}

void EndCaller(Turn& turn, const CallerGone& gone) {
  Exchange* ex = FindExchange(turn.node, gone.exchange);
  if (!ex)
    return;
  ex->caller_gone = true;
  switch (ex->phase) {
    case Exchange::Phase::kKey:
      WithdrawKey(turn, *ex);
      Close(turn, *ex);
      return;
    case Exchange::Phase::kWithdrawing:
      Close(turn, *ex);
      return;
    case Exchange::Phase::kSlot:
      Release(turn, *ex, SlotOutcome::kUnused);
      WithdrawKey(turn, *ex);
      Close(turn, *ex);
      return;
    case Exchange::Phase::kRunning:
      // A request with a key runs on, so that its repetition gets the answer.
      if (!ex->key.empty())
        return;
      turn.actions.push_back(CancelDispatch{ex->id});
      Release(turn, *ex, SlotOutcome::kCancelled);
      Close(turn, *ex);
      return;
  }
}

void EndDispatch(Turn& turn, const DispatchEnded& ended) {
  Exchange* ex = FindExchange(turn.node, ended.exchange);
  if (!ex || ex->phase != Exchange::Phase::kRunning)
    return;
  Release(turn, *ex, ended.outcome);
  if (ended.outcome == SlotOutcome::kAnswered)
    LearnUse(turn.node, *ex, turn.now);
  if (ended.outcome == SlotOutcome::kAnswered ||
      ended.outcome == SlotOutcome::kFailed) {
    EndAnswered(turn, *ex, ended);
    return;
  }
  TryEnd end;
  end.outcome = ended.outcome;
  end.priority = ex->route.priority;
  end.idempotent = ex->route.idempotent && ex->key.empty();
  end.replayable = ended.replayable;
  end.answer_begun = ended.answer_begun;
  end.tries = ex->tries;
  end.time_left = ex->deadline - turn.now;
  if (MayRetry(turn.node.retries, end)) {
    AskSlot(turn, *ex);
    return;
  }
  EndUnanswered(turn, *ex, ended);
}

void TakeSlotGrant(Turn& turn, const HostId& from, const SlotGrant& grant) {
  Exchange* ex = FindExchange(turn.node, grant.exchange);
  const bool wanted = ex && ex->phase == Exchange::Phase::kSlot &&
                      ex->zone == grant.zone && turn.now < ex->deadline;
  if (!wanted) {
    const bool runs = ex && ex->phase == Exchange::Phase::kRunning &&
                      ex->granter == from && ex->zone == grant.zone;
    if (runs)
      return;  // A repeated grant.
    SlotRelease release;
    release.exchange = grant.exchange;
    release.service = grant.service;
    release.zone = grant.zone;
    Send(turn, from, std::move(release));
    return;
  }
  ex->phase = Exchange::Phase::kRunning;
  ex->granter = from;
  ex->endpoint = grant.endpoint;
  ex->dispatched = turn.now;
  ++ex->tries;
  turn.actions.push_back(
      Dispatch{ex->id, grant.endpoint, grant.address, ex->deadline - turn.now});
}

void TakeSlotRefusal(Turn& turn, const SlotRefusal& refusal) {
  Exchange* ex = FindExchange(turn.node, refusal.exchange);
  if (!ex || ex->phase != Exchange::Phase::kSlot)
    return;
  RefuseNotRun(turn, *ex, RefusalProblem(refusal));
}

void TakeSlotAudit(Turn& turn, const HostId& from, const SlotAudit& audit) {
  for (const ExchangeId it : audit.exchanges) {
    const Exchange* ex = FindExchange(turn.node, it);
    if (ex && ex->service == audit.service && ex->zone == audit.zone)
      continue;
    SlotRelease release;
    release.exchange = it;
    release.service = audit.service;
    release.zone = audit.zone;
    Send(turn, from, std::move(release));
  }
}

void TakeKeyGo(Turn& turn, const KeyGo& go) {
  EntryNode& node = turn.node;
  Exchange* ex = FindExchange(node, go.exchange);
  if (ex && ex->phase == Exchange::Phase::kKey && turn.now < ex->deadline) {
    AskSlot(turn, *ex);
    return;
  }
  if (ex || node.outcomes.count(go.exchange))
    return;
  // Permission for an exchange that was closed before it dispatched: it is
  // given back. Exchanges of an earlier incarnation may have dispatched.
  const uint64_t incarnation = IncarnationOf(go.exchange);
  if (incarnation != node.membership.incarnation)
    return;
  Exchange closed;
  closed.id = go.exchange;
  closed.key = go.key;
  closed.home = go.home;
  WithdrawKey(turn, closed);
}

void TakeKeyRefusal(Turn& turn, const KeyRefusal& refusal) {
  Exchange* ex = FindExchange(turn.node, refusal.exchange);
  if (!ex || ex->phase != Exchange::Phase::kKey)
    return;
  if (refusal.verdict == KeyVerdict::kNotHolder) {
    ex->asked = turn.now - turn.node.limits.ask_again_after + kNotHolderPause;
    return;
  }
  Refuse(turn, *ex, VerdictProblem(refusal));
}

void TakeKeyAnswer(Turn& turn, const KeyAnswer& answer) {
  Exchange* ex = FindExchange(turn.node, answer.exchange);
  if (!ex)
    return;
  if (ex->phase != Exchange::Phase::kKey &&
      ex->phase != Exchange::Phase::kWithdrawing) {
    return;
  }
  turn.actions.push_back(AnswerCall{ex->id, answer.answer});
  Close(turn, *ex);
}

void TakeKeyCompleted(Turn& turn, const KeyCompleted& completed) {
  turn.node.outcomes.erase(completed.exchange);
  Exchange* ex = FindExchange(turn.node, completed.exchange);
  if (!ex || ex->phase != Exchange::Phase::kWithdrawing)
    return;
  const Ran ran = completed.not_run ? Ran::kNo : Ran::kUnknown;
  Refuse(turn, *ex, {kHttpGatewayTimeout, "deadline", ran, {}});
}

void RequestsTick(Turn& turn) {
  std::vector<ExchangeId> ids;
  ids.reserve(turn.node.exchanges.size());
  for (const auto& [id, ex] : turn.node.exchanges)
    ids.push_back(id);
  for (const ExchangeId it : ids) {
    if (Exchange* ex = FindExchange(turn.node, it))
      TickExchange(turn, *ex);
  }
  auto& outcomes = turn.node.outcomes;
  for (auto it = outcomes.begin(); it != outcomes.end();) {
    if (it->second.expires <= turn.now) {
      it = outcomes.erase(it);
      continue;
    }
    if (it->second.next_send <= turn.now)
      SendOutcome(turn, it->second);
    ++it;
  }
}

}  // namespace sassafras::entry_parts
