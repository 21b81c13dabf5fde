// The part of GatewayExchange that chooses an endpoint and sends the request to
// it.
#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/exchange.h"
#include "platform/platform.h"

namespace sassafras {

namespace {

// Bytes in the send buffer of a connection to an endpoint, above which no more
// of the request's body is written to it.
constexpr size_t kMaxPendingSendBytes = 64 << 10;
// Allows for the one round trip that a connection between regions takes.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Idle connections older than this are not reused for non-idempotent requests:
// the endpoint may have closed them unnoticed, and the request could not be
// sent again.
constexpr Duration kMaxIdleTimeNonIdempotent = std::chrono::milliseconds(1500);

std::string JoinRegions(const std::vector<RegionId>& regions) {
  std::string out;
  for (const RegionId& it : regions)
    out += (out.empty() ? "" : ",") + it.value();
  return out.empty() ? "-" : out;
}

}  // namespace

// Chooses an endpoint and sends the request to it, or refuses the request if
// none is available or can answer it in time.
void GatewayExchange::TryNext() {
  FollowConfiguration();
  if (RefuseIfStopping() || RefuseIfHomesAreUnknown())
    return;
  const Time now = state_.loop.Now();
  PlacementRequest query;
  query.service = &service_;
  query.route = route_;
  query.homes = homes_;
  query.affinity_key = request_.affinity_key;
  query.random = HashPair(HashOfId(), tried_.size());
  query.has_large_bodies = HasLargeBodies(state_.body_sizes, *route_);
  query.is_long = is_long_;
  query.reserved_share = reserved_share_;
  query.objects = objects_;
  for (const EndpointPtr& it : tried_)
    query.tried.push_back(it.get());
  const Placement placement =
      PlaceRequest(state_.endpoints, state_.placement, query, now);
  placement_load_ = placement.load;
  if (!placement.endpoint) {
    Refuse(NameOf(placement.reason).data(), RetryAfterRefusal());
    return;
  }
  const AdmissionDecision decision =
      Admit(state_.admission, {&service_, &route_->name, placement.load,
                               placement.endpoint->record.slots, TimeLeft()});
  if (!decision.admitted) {
    Refuse("no_time", decision.retry_after);
    return;
  }
  if (first_placed_at_ == Time())
    first_placed_at_ = now;
  OnPlaced(*config_, *placement.endpoint, now);
  Connect(placement.endpoint);
}

void GatewayExchange::Connect(const EndpointPtr& endpoint) {
  try_ = std::make_unique<Try>();
  try_->endpoint = endpoint;
  try_->started = state_.loop.Now();
  tried_.push_back(endpoint);
  OnSent(*endpoint);
  const Duration max_idle_time =
      may_repeat() ? Duration::max() : kMaxIdleTimeNonIdempotent;
  try_->stream = state_.pool.Take(*endpoint, max_idle_time);
  Stream::Handlers handlers;
  const std::weak_ptr<GatewayExchange> weak = weak_from_this();
  handlers.on_connected = [weak] {
    if (const auto self = weak.lock())
      self->OnConnected();
  };
  // The handlers do not keep the exchange alive. If the caller leaves while
  // non-idempotent work runs, the timer of OnCallerGone() does.
  handlers.on_data = [weak](std::string_view data) {
    if (const auto self = weak.lock())
      self->OnAnswerData(data);
  };
  handlers.on_end = [weak](StreamEnd end) {
    if (const auto self = weak.lock())
      self->OnStreamEnd(end);
  };
  handlers.on_drained = [weak] {
    if (const auto self = weak.lock())
      self->OnEndpointDrained();
  };
  if (try_->stream) {
    try_->reused = true;
    try_->stream->set_handlers(std::move(handlers));
    OnConnected();
    return;
  }
  auto stream = TryOr(
      [&] {
        return Stream::Connect(state_.loop, endpoint->record.address,
                               state_.settings.ip);
      },
      [&](const Error& e) -> std::shared_ptr<Stream> {
        LogLine(LogLevel::kWarning, "request", "Cannot connect to endpoint.")
            .With("id", request_.id)
            .With("reason", e.ToString());
        return nullptr;
      });
  if (!stream) {
    // Deferred to a later turn, so that consecutive failures do not recurse.
    state_.loop.Post([weak] {
      const auto self = weak.lock();
      if (self && self->try_)
        self->EndTry(TryOutcome::kNotSent);
    });
    return;
  }
  state_.metrics.Count("gateway_endpoint_connections_total", "");
  try_->stream = std::move(stream);
  connect_timer_ = state_.loop.After(
      std::min(kConnectTimeout, std::max(TimeLeft(), Duration(1))), [weak] {
        const auto self = weak.lock();
        if (self && self->try_ && !self->try_->head_sent)
          self->EndTry(TryOutcome::kNotSent);
      });
  try_->stream->Start(std::move(handlers));
}

void GatewayExchange::OnConnected() {
  connect_timer_.reset();
  if (!WithholdIfNotAllowed())
    SendRequest();
}

// Ends the try if the endpoint may no longer get this request: a record, an
// answer or a configuration may have said so while the connection was
// established. Returns whether it did.
bool GatewayExchange::WithholdIfNotAllowed() {
  FollowConfiguration();
  const EndpointPtr& endpoint = try_->endpoint;
  const Eligibility eligibility =
      EligibilityOf(state_.endpoints, *endpoint, state_.loop.Now());
  const bool is_home =
      AreHomesKnown() && IsHome(homes_, endpoint->record.region);
  const bool is_of_service = endpoint->record.service == service_;
  if (eligibility == Eligibility::kEligible && is_home && is_of_service)
    return false;
  LogLine(LogLevel::kInfo, "request", "Withheld a request from an endpoint.")
      .With("id", request_.id)
      .With("endpoint", endpoint->record.id)
      .With("eligibility", NameOf(eligibility))
      .With("is_home", is_home)
      .With("is_of_service", is_of_service)
      .With("config", followed_config_->version);
  // Deferred to a later turn, since TryNext() may be on the call stack.
  state_.loop.Post([weak = weak_from_this(), endpoint] {
    const auto self = weak.lock();
    if (self && self->try_ && self->try_->endpoint == endpoint &&
        !self->try_->head_sent)
      self->EndTry(TryOutcome::kWithheld);
  });
  return true;
}

void GatewayExchange::SendRequest() {
  Try& t = *try_;
  HttpFields fields =
      platform::EncodeRequest(request_, t.endpoint->record.id, TimeLeft());
  const bool is_chunked = has_body_ && !body_complete_ && !body_length_;
  if (is_chunked)
    fields.push_back({"Transfer-Encoding", "chunked"});
  else if (has_body_ || body_length_)
    fields.push_back({"Content-Length", std::to_string(body_length_.value_or(
                                            body_begin_ + body_.size()))});
  caller_chunked_ = is_chunked;
  StartReading();
  t.head_sent = true;
  t.sent_at = state_.loop.Now();
  last_sent_at_ = t.sent_at;
  ++sends_;
  if (const size_t crashes = CountCrashes(state_.crashes, request_hash_)) {
    LogLine(LogLevel::kWarning, "request",
            "Sent a request that has crashed endpoints.")
        .With("id", request_.id)
        .With("request", request_hash_)
        .With("endpoint", t.endpoint->record.id)
        .With("crashes", crashes)
        .With("send", sends_);
  }
  LogHomeSend();
  t.stream->Write(FormatRequestHead(request_.method, request_.target, fields));
  SendBody();
}

// Logs a send that is bound by home regions.
void GatewayExchange::LogHomeSend() const {
  if (!homes_.is_bound)
    return;
  const EndpointRecord& record = try_->endpoint->record;
  LogLine(LogLevel::kInfo, "request",
          "Sent a request whose route has home regions.")
      .With("id", request_.id)
      .With("route", route_->name)
      .With("homes", JoinRegions(homes_.regions))
      .With("config", followed_config_->version)
      .With("newest_known_config", NewestKnownVersion(state_.members))
      .With("endpoint", record.id)
      .With("zone", record.zone)
      .With("region", record.region)
      .With("waited_ms", Millis(state_.loop.Now() - arrived_))
      .With("host_age_ms", Millis(state_.loop.Now() - state_.members.started));
}

void GatewayExchange::SendBody() {
  Try& t = *try_;
  if (finished_ || t.request_sent || !t.stream)
    return;
  while (t.stream->can_send() && t.stream->pending() < kMaxPendingSendBytes) {
    const size_t at = t.body_bytes_sent - body_begin_;
    const size_t n = std::min(body_.size() - at, kMaxPendingSendBytes);
    if (n == 0)
      break;
    const std::string_view piece(body_.data() + at, n);
    t.body_bytes_sent += n;
    t.stream->Write(caller_chunked_ ? FormatChunk(piece) : std::string(piece));
  }
  if (body_begin_ + body_.size() > kMaxReplayBytes) {
    // Too large to be sent again: keeps only the unsent part.
    body_.erase(0, t.body_bytes_sent - body_begin_);
    body_begin_ = t.body_bytes_sent;
  }
  CountHeldBytes();
  if (body_complete_ && t.stream->can_send() &&
      t.body_bytes_sent == body_begin_ + body_.size()) {
    t.request_sent = true;
    if (caller_chunked_)
      t.stream->Write(kLastChunk);
  }
}

void GatewayExchange::OnEndpointDrained() {
  if (!try_ || !try_->head_sent)
    return;
  SendBody();
  if (const auto sink = sink_.lock(); sink && !body_complete_)
    sink->ResumeBody();
}

}  // namespace sassafras
