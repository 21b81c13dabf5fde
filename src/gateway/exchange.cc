#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/http_status.h"
#include "base/log.h"
#include "gateway/crash_report.h"
#include "platform/platform.h"
#include "routing/stop_policy.h"

namespace sassafras {

namespace {

// Buffered bytes of a request's body that are not yet sent, above which the
// caller is not read from.
constexpr size_t kMaxBufferedBodyBytes = 256 << 10;
// Extra time after the deadline: an endpoint stops at the deadline and reports
// that in an answer, which takes time to arrive.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(60);
// For endpoints whose answers state no Keep-Alive timeout.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(5);
// Retry-After until the first configuration is loaded, or the state is known to
// be current, which takes about this long.
constexpr Duration kUnknownStateRetryAfter = std::chrono::milliseconds(500);
// Retry-After of a request that gave way to others.
constexpr Duration kGiveWayRetryAfter = std::chrono::milliseconds(500);
// Retry-After of a host that cannot serve what others can; the caller can go to
// another host at once.
constexpr Duration kOtherHostRetryAfter = Duration(0);

// Whether an endpoint rejected a request because all its slots are in use. An
// endpoint that reports free slots has rejected it for another reason.
bool IsFull(TryOutcome outcome, const WireAnswer& answer) {
  return outcome == TryOutcome::kNotRun &&
         answer.status == kHttpServiceUnavailable &&
         (!answer.load || answer.load->running >= answer.load->slots);
}

}  // namespace

GatewayExchange::GatewayExchange(GatewayState& state,
                                 std::weak_ptr<ExchangeSink> sink,
                                 const HttpHead& head,
                                 Time arrived)
    : state_(state),
      sink_(std::move(sink)),
      request_(platform::DecodeRequest(head)),
      caller_keeps_alive_(head.keep_alive),
      has_body_(head.chunked || head.content_length.value_or(0) > 0),
      caller_chunked_(head.chunked),
      body_length_(head.content_length),
      config_(state.config),
      arrived_(arrived),
      deadline_(arrived),
      held_(state.request_buffers) {
  ++state_.open_exchanges;
  CountHeldBytes();
  FollowConfiguration();
}

GatewayExchange::~GatewayExchange() {
  --state_.open_exchanges;
  if (try_ && try_->stream) {
    OnEnded(*try_->endpoint);
    try_->stream->Close();
  }
}

uint64_t GatewayExchange::HashOfId() const {
  return HashText(request_.id);
}

Duration GatewayExchange::TimeLeft() const {
  return deadline_ - state_.loop.Now();
}

// Applies the configuration in effect, which may be newer than the one at the
// request's arrival. A request that was not sent yet is handled by it as if it
// had just arrived. One that was sent keeps its route, but may not be sent
// outside the new homes.
void GatewayExchange::FollowConfiguration() {
  if (followed_config_ == state_.config)
    return;
  const bool is_arriving = !followed_config_;
  followed_config_ = state_.config;
  const RequestRoute* route =
      FindRoute(*followed_config_, request_.host, request_.path);
  // A request whose route was dropped ends by the version that had it.
  if (!route)
    return;
  homes_ = HomesOfRequest(*followed_config_, request_.host, request_.path);
  // Whether it may repeat has decided its order on the caller's connection.
  const bool keeps_order = MayRepeat(route->kind) == may_repeat();
  if (!is_arriving && (sends_ > 0 || !keeps_order))
    return;
  config_ = followed_config_;
  route_ = route;
  if (service_.empty())
    return;
  const ServiceId& service = ChooseService(*route_, HashOfId());
  if (service == service_)
    return;
  service_ = service;
  RecordDemand();
}

void GatewayExchange::Begin() {
  begun_ = true;
  if (!config_) {
    Refuse("no_configuration", kUnknownStateRetryAfter);
    return;
  }
  if (request_.id.empty()) {
    SendOwnAnswer(kHttpBadRequest, "no_request_id", std::nullopt);
    return;
  }
  FollowConfiguration();
  if (!route_) {
    LogNoRoute();
    SendOwnAnswer(kHttpNotFound, "no_route", std::nullopt);
    return;
  }
  if (route_->is_unreadable) {
    Refuse("route_unreadable", kUnknownStateRetryAfter);
    return;
  }
  const Duration limit =
      std::min(request_.time_limit.value_or(route_->timeout), route_->timeout);
  deadline_ = arrived_ + limit;
  if (RefuseIfStopping())
    return;
  service_ = ChooseService(*route_, HashOfId());
  OnRequest(state_.retries[service_], state_.settings.retry_bound,
            state_.loop.Now());
  RecordDemand();
  StartTimer(TimeLeft());
  if (!has_body_)
    body_complete_ = true;
  if (body_complete_ || body_.size() >= kMaxReplayBytes)
    StartTries();
}

// What the host knew of the configuration, to tell a version that is late from
// one that was never received.
void GatewayExchange::LogNoRoute() const {
  const Time now = state_.loop.Now();
  const StateSource& source = state_.source;
  LogLine line(LogLevel::kInfo, "request",
               "Refused a request that no route allows.");
  line.With("id", request_.id)
      .With("config", config_->version)
      .With("config_position", source.config_position)
      .With("config_source", source.config_source)
      .With("config_age_ms", Millis(now - source.config_applied_at))
      .With("newest_known_config", NewestKnownVersion(state_.members))
      .With("state_age_ms", IsConfirmed(state_.freshness)
                                ? Millis(now - state_.freshness.confirmed_at)
                                : -1)
      .With("feed", source.feed);
  for (const CachePosition& it : source.positions)
    line.With("at_" + it.kind, it.as_of);
}

// Starts the first try. Called once the body is complete or fills the replay
// buffer: its beginning is part of the request's hash.
void GatewayExchange::StartTries() {
  const std::string_view body(body_);
  request_hash_ =
      HashOfRequest({request_.method, request_.host, request_.target,
                     request_.credentials, body.substr(0, kMaxReplayBytes)});
  if (!RefuseIfSuspect())
    TryNext();
}

// Refuses a request that has crashed endpoints and would most likely crash
// another one, unless this host may probe it. Returns whether it was refused.
bool GatewayExchange::RefuseIfSuspect() {
  const PlacementContext& hosts = state_.placement;
  const bool is_prober = IsProber(request_hash_, hosts.own_hash,
                                  hosts.host_hashes, hosts.knows_hosts);
  const ArrivalDecision decision =
      OnArrival(state_.crashes, request_hash_, is_prober, state_.loop.Now());
  if (decision.verdict == ArrivalVerdict::kSend)
    return false;
  state_.metrics.Count(
      "gateway_suspect_returns_total",
      "verdict=\"" + std::string(NameOf(decision.verdict)) + "\"");
  LogLine(LogLevel::kWarning, "request", "Suspect request arrived again.")
      .With("id", request_.id)
      .With("request", request_hash_)
      .With("verdict", NameOf(decision.verdict))
      .With("crashes", decision.crashes)
      .With("last_crash_ms_ago", Millis(decision.last_crash_age))
      .With("hold_ms", Millis(decision.hold));
  if (decision.verdict == ArrivalVerdict::kProbe)
    return false;
  Refuse("crashes_endpoints", decision.hold);
  return true;
}

// Refuses a request that could be cut by the exit of this host. Returns whether
// it was refused.
bool GatewayExchange::RefuseIfStopping() {
  if (!state_.stopping)
    return false;
  StoppingRequest stopping;
  stopping.time_limit = TimeLeft();
  stopping.until_final = state_.final_answers_at - state_.loop.Now();
  stopping.must_not_be_cut = arrived_ >= state_.no_cuts_from;
  if (MayStartWhileStopping(state_.admission, *route_, stopping))
    return false;
  LogLine(LogLevel::kInfo, "request",
          "Refused a request that may outlast this host's stop.")
      .With("id", request_.id)
      .With("kind", NameOf(route_->kind))
      .With("left_ms", Millis(stopping.time_limit))
      .With("longest_ms", Millis(LongestServiceTime(state_.admission, *route_)))
      .With("until_final_answers_ms", Millis(stopping.until_final))
      .With("must_not_be_cut", stopping.must_not_be_cut);
  Refuse("stopping", kOtherHostRetryAfter);
  return true;
}

// Whether this host can know the regions where the request may be sent.
// Requests without homes may only have got some in a configuration that is
// about to arrive.
bool GatewayExchange::AreHomesKnown() const {
  if (!followed_config_->has_home_regions)
    return true;
  const Freshness freshness =
      FreshnessOf(state_.freshness, state_.members, state_.loop.Now());
  if (homes_.is_bound)
    return freshness == Freshness::kCurrent;
  return freshness != Freshness::kOutdated && freshness != Freshness::kResumed;
}

// Returns whether it refused the request.
bool GatewayExchange::RefuseIfHomesAreUnknown() {
  if (AreHomesKnown())
    return false;
  const Time now = state_.loop.Now();
  LogLine(LogLevel::kInfo, "request",
          "Refused a request whose home regions may have changed.")
      .With("id", request_.id)
      .With("state", NameOf(FreshnessOf(state_.freshness, state_.members, now)))
      .With("config", followed_config_->version)
      .With("newest_known_config", NewestKnownVersion(state_.members))
      .With("state_age_ms", IsConfirmed(state_.freshness)
                                ? Millis(now - state_.freshness.confirmed_at)
                                : -1);
  const bool has_others = CountAlive(state_.members, now) > 1;
  Refuse("homes_unknown",
         has_others ? kOtherHostRetryAfter : kUnknownStateRetryAfter);
  return true;
}

// Counts the request into its service's demand. Stores the inputs of its
// placement, so that all tries of the request use the same values.
void GatewayExchange::RecordDemand() {
  ServiceDemand& demand = state_.demands[service_];
  is_long_ = IsLongWork(*config_, service_, *route_);
  reserved_share_ = demand.reserved_share;
  ObjectSample& objects =
      is_long_ ? demand.long_objects : demand.urgent_objects;
  if (!request_.affinity_key.empty() && route_->sticky)
    OnObjectRequested(objects, HashText(request_.affinity_key));
  // Callers of other regions, which this host does not serve, may request other
  // objects.
  const size_t regions =
      std::max(state_.placement.caller_shares.size(), size_t{1});
  objects_ = EstimateObjects(objects) * static_cast<double>(regions);
  OnDemand(demand, *route_, is_long_,
           ExpectedServiceTime(state_.admission, *route_), state_.loop.Now());
}

void GatewayExchange::StartTimer(Duration delay) {
  timer_ = state_.loop.After(std::max(delay, Duration(0)),
                             [weak = weak_from_this()] {
                               if (const auto self = weak.lock())
                                 self->OnDeadline();
                             });
}

bool GatewayExchange::wants_body() const {
  if (finished_ || body_complete_)
    return true;
  const size_t sent = try_ ? try_->body_bytes_sent : body_begin_;
  return body_begin_ + body_.size() - sent < kMaxBufferedBodyBytes;
}

void GatewayExchange::OnBody(std::string_view data) {
  // The rest of the body is discarded after an early answer.
  if (finished_ || answer_begun_)
    return;
  body_ += data;
  CountHeldBytes();
  if (!begun_)
    return;
  if (try_ && try_->head_sent)
    SendBody();
  else if (!try_ && body_.size() >= kMaxReplayBytes)
    StartTries();
}

void GatewayExchange::OnBodyEnd() {
  body_complete_ = true;
  if (finished_ || !begun_)
    return;
  if (try_ && try_->head_sent)
    SendBody();
  else if (!try_)
    StartTries();
}

void GatewayExchange::CountHeldBytes() {
  const size_t unsent = try_ && try_->stream ? try_->stream->pending() : 0;
  held_.Set(kRequestOverheadBytes + body_.capacity() + unsent);
}

void GatewayExchange::ReleaseBody() {
  body_begin_ += body_.size();
  body_ = std::string();
  CountHeldBytes();
}

void GatewayExchange::ReleaseSentBody() {
  if (try_ && try_->request_sent)
    ReleaseBody();
}

void GatewayExchange::OnGiveWay() {
  const auto self = shared_from_this();
  if (finished_)
    return;
  const bool may_run = may_have_run_ || (try_ && try_->head_sent);
  SendOwnAnswer(
      RefusalStatus(may_run), "gave_way",
      may_run ? std::nullopt : std::optional<Duration>(kGiveWayRetryAfter));
  if (try_)
    EndTry(try_->head_sent ? TryOutcome::kTimedOut : TryOutcome::kWithheld);
}

void GatewayExchange::OnBodyFault(int status) {
  if (finished_)
    return;
  if (answer_begun_) {
    Finish(0, "body_fault");
    return;
  }
  SendOwnAnswer(status, "body_fault", std::nullopt);
}

// Updates the endpoint's health and load, the service times and the metrics
// with the outcome of a try.
void GatewayExchange::RecordOutcome(const Try& ended, TryOutcome outcome) {
  const Time now = state_.loop.Now();
  EndpointView& endpoint = *ended.endpoint;
  OnEnded(endpoint);
  switch (outcome) {
    case TryOutcome::kAnswered:
      OnSuccess(endpoint, now);
      OnServiceTime(state_.admission, service_, route_->name,
                    now - ended.sent_at);
      state_.metrics.Observe("gateway_endpoint_seconds",
                             MetricLabel("service", service_.value()) +
                                 ",rank=\"" + std::to_string(route_->priority) +
                                 "\"",
                             now - ended.sent_at);
      break;
    case TryOutcome::kNotRun:
      if (ended.answer.status == kHttpMisdirectedRequest)
        OnMisdirected(endpoint, now);
      else
        endpoint.last_success = now;
      break;
    case TryOutcome::kFailed:
      OnRunAnswered(endpoint);
      break;
    case TryOutcome::kTimedOut:
    case TryOutcome::kWithheld:
      break;
    case TryOutcome::kNotSent:
    case TryOutcome::kBroken:
    case TryOutcome::kBadAnswer:
      OnFailure(endpoint, now);
      break;
  }
  RecordCrash(ended, outcome);
  state_.metrics.Count("gateway_tries_total",
                       "outcome=\"" + std::string(NameOf(outcome)) + "\"");
}

void GatewayExchange::RecordAnswer(const Try& ended) {
  const size_t crashes = CountCrashes(state_.crashes, request_hash_);
  if (!OnAnswered(state_.crashes, request_hash_, ended.sent_at,
                  state_.loop.Now()))
    return;
  LogLine(LogLevel::kInfo, "request",
          "Suspect request was answered; suspicion is cleared.")
      .With("id", request_.id)
      .With("request", request_hash_)
      .With("endpoint", ended.endpoint->record.id)
      .With("crashes", crashes);
  state_.announce();
}

void GatewayExchange::RecordCrash(const Try& ended, TryOutcome outcome) {
  if (ProvesNoCrash(outcome))
    RecordAnswer(ended);
  const EndpointView& endpoint = *ended.endpoint;
  const Time now = state_.loop.Now();
  const bool is_silent = outcome == TryOutcome::kTimedOut;
  if (ProvesAlive(outcome, ended.answer.status)) {
    OnEndpointAnswered(state_.unanswered_sends, HashOfIncarnation(endpoint));
  } else if (is_silent && !endpoint.ended_abruptly) {
    OnUnanswered(state_.unanswered_sends, HashOfIncarnation(endpoint),
                 {request_hash_, request_.id, ended.sent_at, now});
  } else if (is_silent || outcome == TryOutcome::kBroken) {
    ReportCrash(state_, {request_hash_,
                         request_.id,
                         &endpoint,
                         {ended.sent_at, now},
                         is_silent});
  }
}

// Returns the connection to the pool if it can carry another request, else
// closes it.
void GatewayExchange::ReleaseStream(TryOutcome outcome) {
  Try& t = *try_;
  if (!t.stream || !t.stream->is_open())
    return;
  const bool is_whole = outcome == TryOutcome::kAnswered ||
                        outcome == TryOutcome::kFailed ||
                        outcome == TryOutcome::kNotRun;
  const bool is_reusable = is_whole && t.request_sent && t.input.empty() &&
                           t.stream->can_send() && t.stream->pending() == 0 &&
                           t.reader->state() == HttpReadState::kComplete &&
                           t.reader->head().keep_alive &&
                           CountsAsCapacity(state_.endpoints, *t.endpoint);
  if (is_reusable)
    state_.pool.Put(t.endpoint, t.stream,
                    t.answer.idle_timeout.value_or(kDefaultIdleTimeout));
  else
    t.stream->Close();
}

void GatewayExchange::EndTry(TryOutcome outcome) {
  connect_timer_.reset();
  RecordOutcome(*try_, outcome);
  ReleaseStream(outcome);
  if (try_->head_sent && outcome != TryOutcome::kNotRun)
    may_have_run_ = true;
  auto ended = std::move(try_);
  AfterTry(outcome, std::move(*ended));
}

void GatewayExchange::AfterTry(TryOutcome outcome, Try ended) {
  if (finished_)
    return;
  if (caller_gone_) {
    // No other try: the caller no longer waits for the answer.
    finished_ = true;
    timer_.reset();
    return;
  }
  const Time now = state_.loop.Now();
  TryState end;
  end.outcome = outcome;
  end.kind = route_->kind;
  end.may_have_run = may_have_run_;
  end.replayable = body_begin_ == 0;
  end.answer_begun = answer_begun_;
  end.sends = sends_;
  end.max_attempts = route_->max_attempts;
  end.is_long = is_long_;
  end.is_suspect = IsSuspect(state_.crashes, request_hash_);
  end.was_full = IsFull(outcome, ended.answer);
  end.time_left = TimeLeft();
  const RetryBound& bound = state_.settings.retry_bound;
  // As long as nothing was sent, the next send is the first and no retry.
  const bool may_retry =
      IsRetryUseful(end) &&
      (sends_ == 0 || TakeRetry(state_.retries[service_], bound,
                                CountKnownHosts(state_.members, now), now));
  const NextStep step = DecideNext(end, may_retry);
  if (step != NextStep::kDeliver || outcome != TryOutcome::kAnswered)
    LogTry(ended, outcome, step);
  switch (step) {
    case NextStep::kTryAgain:
      TryNext();
      return;
    case NextStep::kDeliver:
      Deliver(ended);
      return;
    case NextStep::kRefuse:
      Refuse(NameOf(outcome).data(), RetryAfterRefusal());
      return;
    case NextStep::kFail:
      SendOwnAnswer(kHttpBadGateway, NameOf(outcome).data(), std::nullopt);
      return;
    case NextStep::kFailTime:
      SendOwnAnswer(kHttpGatewayTimeout, NameOf(outcome).data(), std::nullopt);
      return;
  }
}

void GatewayExchange::Deliver(Try& ended) {
  try_ = std::make_unique<Try>(std::move(ended));
  try_->stream.reset();
  ForwardAnswer(true);
  const int status = try_->answer.status;
  if (IsSuccess(status)) {
    OnBodySize(state_.body_sizes, route_->name,
               body_begin_ + body_.size() + answer_bytes_);
  }
  tried_.push_back(try_->endpoint);
  try_.reset();
  Finish(status, "endpoint");
}

void GatewayExchange::LogTry(const Try& ended,
                             TryOutcome outcome,
                             NextStep step) const {
  const Time now = state_.loop.Now();
  LogLine(LogLevel::kInfo, "request", "Try at an endpoint ended.")
      .With("id", request_.id)
      .With("endpoint", ended.endpoint->record.id)
      .With("outcome", NameOf(outcome))
      .With("status", ended.has_answer ? ended.answer.status : 0)
      .With("next", NameOf(step))
      .With("sends", sends_)
      .With("reused", ended.reused)
      .With("crashes", CountCrashes(state_.crashes, request_hash_))
      .With("try_ms", Millis(now - ended.started))
      .With("left_ms", Millis(TimeLeft()));
}

Duration GatewayExchange::RetryAfterRefusal() {
  const Time now = state_.loop.Now();
  const Duration time =
      RetryAfter(state_.admission, service_, UnitInterval(state_.random()));
  const std::optional<Time> resume =
      FirstResume(state_.endpoints, service_, homes_, now);
  if (!resume)
    return time;
  // Not all at the instant at which the endpoint resumes.
  return *resume - now +
         FromSeconds(Seconds(time) * UnitInterval(state_.random()));
}

void GatewayExchange::Refuse(const char* cause,
                             std::optional<Duration> retry_after) {
  SendOwnAnswer(RefusalStatus(may_have_run_), cause, retry_after);
}

void GatewayExchange::SendOwnAnswer(int status,
                                    const char* cause,
                                    std::optional<Duration> retry_after) {
  if (finished_)
    return;
  const auto sink = sink_.lock();
  if (answer_begun_) {
    // The caller must notice that the answer is truncated.
    finished_ = true;
    timer_.reset();
    ReleaseBody();
    if (sink)
      sink->Abort(*this);
    return;
  }
  if (sink && !caller_gone_) {
    HttpFields fields = platform::EncodeGatewayAnswer(request_.id, retry_after);
    fields.push_back({"Content-Length", "0"});
    if (sink->DecideClose(*this))
      fields.push_back({"Connection", "close"});
    answer_begun_ = true;
    sink->Send(*this, FormatAnswerHead(status, fields));
  }
  Finish(status, cause);
}

void GatewayExchange::Finish(int status, const char* cause) {
  finished_ = true;
  timer_.reset();
  ReleaseBody();
  const Duration took = state_.loop.Now() - arrived_;
  const auto since_arrival = [&](Time at) {
    return at == Time() ? -1 : Millis(at - arrived_);
  };
  LogLine(LogLevel::kInfo, "request", "Request finished.")
      .With("id", request_.id)
      .With("route", route_ ? route_->name : "-")
      .With("service", service_)
      .With("status", status)
      .With("cause", cause)
      .With("sends", sends_)
      .With("object",
            request_.affinity_key.empty() ? "-" : request_.affinity_key)
      .With("endpoint",
            tried_.empty() ? EndpointId("-") : tried_.back()->record.id)
      .With("load", placement_load_)
      .With("objects", objects_)
      .With("rank", route_ ? route_->priority : -1)
      .With("placed_ms", since_arrival(first_placed_at_))
      .With("sent_ms", since_arrival(last_sent_at_))
      .With("running", last_reported_load_ ? last_reported_load_->running : -1)
      .With("waiting", last_reported_load_ ? last_reported_load_->waiting : -1)
      .With("region",
            tried_.empty() ? RegionId("-") : tried_.back()->record.region)
      .With("ms", Millis(took))
      .With("config", config_ ? config_->version : 0);
  const std::string labels =
      "status=\"" + std::to_string(status) + "\",cause=\"" + cause + "\"";
  state_.metrics.Count("gateway_answers_total", labels);
  state_.metrics.Observe("gateway_answer_seconds", "", took);
  if (const auto sink = sink_.lock(); sink && !caller_gone_)
    sink->Finish(*this);
}

void GatewayExchange::OnDeadline() {
  const auto self = shared_from_this();
  if (finished_)
    return;
  if (try_ && try_->head_sent && !deadline_extended_) {
    deadline_extended_ = true;
    StartTimer(kDeadlineSlack);
    return;
  }
  if (try_) {
    EndTry(try_->head_sent ? TryOutcome::kTimedOut : TryOutcome::kNotSent);
    return;
  }
  if (may_have_run_)
    SendOwnAnswer(kHttpGatewayTimeout, "timed_out", std::nullopt);
  else
    Refuse("timed_out", std::nullopt);
}

void GatewayExchange::OnHostExit() {
  const auto self = shared_from_this();
  if (finished_)
    return;
  if (try_) {
    EndTry(try_->head_sent ? TryOutcome::kTimedOut : TryOutcome::kNotSent);
    return;
  }
  Refuse("stopping", kOtherHostRetryAfter);
}

void GatewayExchange::OnCallerGone() {
  if (finished_ || caller_gone_)
    return;
  caller_gone_ = true;
  const bool must_run_on =
      try_ && try_->head_sent && try_->request_sent && !may_repeat();
  LogLine(LogLevel::kInfo, "request",
          "Caller left before the answer was complete.")
      .With("id", request_.id)
      .With("sends", sends_)
      .With("runs_on", must_run_on)
      .With("ms", Millis(state_.loop.Now() - arrived_));
  state_.metrics.Count("gateway_callers_left_total", "");
  if (must_run_on) {
    ReleaseBody();
    // Non-idempotent work must not be cancelled halfway: the timer owns the
    // exchange until the endpoint answers or the deadline passes.
    timer_ =
        state_.loop.After(std::max(TimeLeft() + kDeadlineSlack, Duration(0)),
                          [self = shared_from_this()] {
                            self->deadline_extended_ = true;
                            self->OnDeadline();
                          });
    return;
  }
  finished_ = true;
  timer_.reset();
  ReleaseBody();
  if (try_)
    EndTry(TryOutcome::kTimedOut);
}

}  // namespace sassafras
