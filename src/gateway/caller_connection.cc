#include "gateway/caller_connection.h"

#include <algorithm>
#include <utility>

#include "base/http_status.h"
#include "base/log.h"
#include "platform/platform.h"

namespace sassafras {

namespace {

// Unanswered requests after which no further request is read.
constexpr size_t kMaxPipelinedRequests = 16;
// Unparsed bytes after which the socket is no longer read from.
constexpr size_t kMaxInputBytes = 64 << 10;
// Capacity that an empty input buffer keeps.
constexpr size_t kMaxKeptInputBytes = 8 << 10;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

RequestLimits LimitsOf(const GatewayState& state) {
  return state.config ? state.config->limits : RequestLimits();
}

int StatusOf(HttpReadState fault) {
  switch (fault) {
    case HttpReadState::kHeadTooLarge:
      return kHttpHeaderFieldsTooLarge;
    case HttpReadState::kBodyTooLarge:
      return kHttpContentTooLarge;
    default:
      return kHttpBadRequest;
  }
}

}  // namespace

CallerConnection::CallerConnection(GatewayState& state,
                                   Socket socket,
                                   OnClosed on_closed)
    : state_(state),
      on_closed_(std::move(on_closed)),
      stream_(Stream::Adopt(state.loop, std::move(socket))),
      held_(state.request_buffers),
      last_activity_(state.loop.Now()),
      last_progress_(last_activity_) {}

void CallerConnection::Start() {
  Stream::Handlers handlers;
  const std::weak_ptr<CallerConnection> weak = weak_from_this();
  handlers.on_data = [weak](std::string_view data) {
    if (const auto self = weak.lock())
      self->OnData(data);
  };
  handlers.on_end = [weak](StreamEnd) {
    if (const auto self = weak.lock())
      self->OnEnd();
  };
  handlers.on_drained = [weak] {
    const auto self = weak.lock();
    if (self && !self->queue_.empty()) {
      const ExchangePtr front = self->queue_.front();
      front->OnCallerDrained();
    }
  };
  stream_->Start(std::move(handlers));
}

void CallerConnection::OnData(std::string_view data) {
  last_activity_ = state_.loop.Now();
  if (closing_)
    return;
  bytes_since_progress_ += data.size();
  if (bytes_since_progress_ >= kProgressBytes) {
    bytes_since_progress_ = 0;
    last_progress_ = last_activity_;
  }
  const auto self = shared_from_this();
  input_.append(data);
  ReadRequests();
  state_.bound_request_bytes();
}

void CallerConnection::CountHeldBytes() {
  if (input_.empty() && input_.capacity() > kMaxKeptInputBytes)
    input_ = std::string();
  held_.Set(input_.capacity());
}

CallerHold CallerConnection::Hold() const {
  CallerHold out;
  out.last_progress = last_progress_;
  if (is_lingering_) {
    out.stage = CallerStage::kClosing;
    return out;
  }
  if (reading_exchange_)
    out.stage = reading_exchange_->wants_body() ? CallerStage::kReceiving
                                                : CallerStage::kWaiting;
  else if (!queue_.empty())
    out.stage = CallerStage::kWaiting;
  else if (reader_ && (reader_->has_started() || !input_.empty()))
    out.stage = CallerStage::kReceiving;
  if (gave_way_)
    return out;
  out.bytes = held_.bytes();
  for (const ExchangePtr& it : queue_)
    out.bytes += it->held_bytes();
  return out;
}

void CallerConnection::GiveWay() {
  const auto self = shared_from_this();
  if (is_lingering_) {
    stream_->Close();
    return;
  }
  gave_way_ = true;
  closing_ = true;
  reader_.reset();
  input_.clear();
  CountHeldBytes();
  const ExchangePtr exchange = std::exchange(reading_exchange_, nullptr);
  for (const ExchangePtr& it : std::deque<ExchangePtr>(queue_)) {
    if (it->has_begun())
      it->ReleaseSentBody();
    else
      it->OnGiveWay();
  }
  if (exchange)
    exchange->OnGiveWay();
  if (queue_.empty() && stream_->is_open() && !is_lingering_)
    Close(true);
}

bool CallerConnection::MayReadNext() const {
  if (closing_ || !stream_->is_open())
    return false;
  if (reading_exchange_)
    return reading_exchange_->wants_body();
  return !close_decided_ && queue_.size() < kMaxPipelinedRequests;
}

void CallerConnection::ReadRequests() {
  // Exchanges may call back into this function while it runs.
  if (in_read_)
    return;
  in_read_ = true;
  const auto self = shared_from_this();
  while (!input_.empty() && MayReadNext()) {
    if (!ReadCurrentRequest())
      break;
  }
  in_read_ = false;
  UpdateReading();
}

void CallerConnection::UpdateReading() {
  CountHeldBytes();
  if (!stream_->is_open())
    return;
  // Keeps reading while the buffer has room, even if no request may be parsed:
  // otherwise a caller that closes the connection would go unnoticed.
  const bool holds_body = reading_exchange_ && !reading_exchange_->wants_body();
  stream_->SetReading(!holds_body && input_.size() < kMaxInputBytes);
}

// Continues the current request; returns false if it needs more bytes or the
// connection cannot be read any further.
bool CallerConnection::ReadCurrentRequest() {
  if (!reader_) {
    const RequestLimits limits = LimitsOf(state_);
    reader_ = NewRequestReader({limits.head_bytes, limits.body_bytes});
    request_started_ = state_.loop.Now();
  }
  const size_t n = reader_->Read(input_);
  input_.erase(0, n);
  const HttpReadState at = reader_->state();
  if (at == HttpReadState::kHead)
    return false;
  if (at != HttpReadState::kBody && at != HttpReadState::kComplete) {
    OnReadFault(at);
    return false;
  }
  if (!reading_exchange_)
    BeginRequest();
  // An immediate answer may have closed the connection and reset the reader.
  if (!reader_)
    return false;
  PassBody();
  return at == HttpReadState::kComplete || n > 0;
}

void CallerConnection::BeginRequest() {
  reading_exchange_ = std::make_shared<GatewayExchange>(
      state_, weak_from_this(), reader_->head(), request_started_);
  queue_.push_back(reading_exchange_);
  last_progress_ = last_activity_;
  if (reading_exchange_->request().expects_continue &&
      reader_->state() == HttpReadState::kBody && queue_.size() == 1)
    stream_->Write(kContinue);
  BeginWaitingRequests();
}

// Begins the first request of the connection and the idempotent ones directly
// after it. Callers send idempotent requests again if the connection closes
// before their answers; any other request waits until it is first.
void CallerConnection::BeginWaitingRequests() {
  const std::deque<ExchangePtr> waiting = queue_;
  for (const ExchangePtr& it : waiting) {
    if (!stream_->is_open())
      return;
    const bool is_first = !queue_.empty() && queue_.front() == it;
    if (!is_first && !it->may_repeat())
      return;
    if (!it->has_begun() && !it->is_finished())
      it->Begin();
    // Requests behind it count as not read.
    if (it->closes_connection)
      return;
  }
}

void CallerConnection::PassBody() {
  const ExchangePtr exchange = reading_exchange_;
  const std::string body = reader_->TakeBody();
  const bool is_complete = reader_->state() == HttpReadState::kComplete;
  if (is_complete) {
    reader_.reset();
    reading_exchange_.reset();
  }
  if (!body.empty())
    exchange->OnBody(body);
  if (is_complete)
    exchange->OnBodyEnd();
}

void CallerConnection::OnReadFault(HttpReadState fault) {
  LogLine(LogLevel::kInfo, "caller", "Cannot read request from caller.")
      .With("reason", NameOf(fault));
  const int status = StatusOf(fault);
  const ExchangePtr exchange = std::exchange(reading_exchange_, nullptr);
  reader_.reset();
  input_.clear();
  if (!exchange) {
    AnswerFault(status);
    return;
  }
  // The connection closes after this request's answer.
  closing_ = true;
  exchange->OnBodyFault(status);
}

// Answers a request whose head could not be read, and closes the connection.
// If earlier requests are still open, it gets no answer: the connection closes
// after theirs.
void CallerConnection::AnswerFault(int status) {
  closing_ = true;
  if (queue_.empty()) {
    HttpFields fields = {{"Content-Length", "0"}, {"Connection", "close"}};
    stream_->Write(FormatAnswerHead(status, fields));
    Close(true);
  }
}

bool CallerConnection::IsFront(const GatewayExchange& exchange) const {
  return !queue_.empty() && queue_.front().get() == &exchange;
}

void CallerConnection::Send(GatewayExchange& exchange, std::string bytes) {
  if (IsFront(exchange))
    stream_->Write(bytes);
  else
    exchange.held_output += bytes;
}

size_t CallerConnection::UnsentBytes(const GatewayExchange& exchange) const {
  return IsFront(exchange) ? stream_->pending() : exchange.held_output.size();
}

// A stopping host closes the connection after the last request that it has
// begun. Earlier requests may already be at endpoints and need their answers;
// later ones count as not read.
bool CallerConnection::DecideClose(GatewayExchange& exchange) {
  const auto last =
      state_.stopping
          ? std::find_if(queue_.rbegin(), queue_.rend(),
                         [](const auto& it) { return it->has_begun(); })
          : queue_.rbegin();
  const bool is_last = last == queue_.rend() || last->get() == &exchange;
  exchange.closes_connection = !exchange.caller_keeps_alive() ||
                               (is_last && (state_.stopping || closing_));
  close_decided_ = close_decided_ || exchange.closes_connection;
  return exchange.closes_connection;
}

void CallerConnection::Finish(GatewayExchange& exchange) {
  exchange.held_finish = true;
  if (IsFront(exchange))
    PopFinished();
}

void CallerConnection::Abort(GatewayExchange& exchange) {
  exchange.held_abort = true;
  if (IsFront(exchange))
    Close(false);
}

// Removes finished exchanges from the front of the queue and sends the output
// that the next ones have held until their turn.
void CallerConnection::PopFinished() {
  const auto self = shared_from_this();
  while (!queue_.empty() && stream_->is_open()) {
    const ExchangePtr front = queue_.front();
    if (!front->held_output.empty())
      stream_->Write(std::exchange(front->held_output, {}));
    if (front->held_abort) {
      Close(false);
      return;
    }
    if (!front->held_finish)
      break;
    queue_.pop_front();
    last_activity_ = state_.loop.Now();
    last_progress_ = last_activity_;
    if (front->closes_connection) {
      Close(true);
      return;
    }
  }
  if (closing_ && queue_.empty()) {
    Close(true);
    return;
  }
  BeginWaitingRequests();
  ReadRequests();
}

void CallerConnection::ResumeBody() {
  ReadRequests();
}

void CallerConnection::OnEnd() {
  Close(false);
}

// Closes the connection and tells unanswered exchanges that the caller has
// left.
void CallerConnection::Close(bool gracefully) {
  const auto self = shared_from_this();
  closing_ = true;
  const auto on_closed = [this, fn = std::exchange(on_closed_, nullptr)] {
    if (fn)
      fn(this);
  };
  // The process does not exit before the buffered answers are sent.
  const bool lingers = gracefully && stream_->is_open();
  is_lingering_ = lingers;
  if (lingers)
    stream_->CloseGracefully(on_closed);
  else
    stream_->Close();
  reader_.reset();
  reading_exchange_.reset();
  const std::deque<ExchangePtr> unanswered = std::exchange(queue_, {});
  for (const ExchangePtr& it : unanswered)
    it->OnCallerGone();
  if (!lingers)
    on_closed();
}

void CallerConnection::CloseIfTimedOut(Time now) {
  const RequestLimits limits = LimitsOf(state_);
  const auto self = shared_from_this();
  const bool reads_head = !reading_exchange_ && reader_ &&
                          (reader_->has_started() || !input_.empty());
  if (reads_head && now - request_started_ > limits.head_timeout) {
    reader_.reset();
    input_.clear();
    AnswerFault(kHttpRequestTimeout);
    return;
  }
  const bool is_idle = queue_.empty() && !reads_head;
  if (is_idle && now - last_activity_ > limits.idle_timeout)
    Close(true);
}

void CallerConnection::CloseIfIdle() {
  if (queue_.empty())
    Close(true);
}

void CallerConnection::EndOpenRequests() {
  const auto self = shared_from_this();
  const std::deque<ExchangePtr> open = queue_;
  for (const ExchangePtr& it : open) {
    // Requests that have not begun count as not read.
    if (it->has_begun())
      it->OnHostExit();
  }
  // Nothing is left to wait for, unless a request is still being received.
  if (!closing_)
    Close(true);
}

}  // namespace sassafras
