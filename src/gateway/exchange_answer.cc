// The part of GatewayExchange that reads an endpoint's answer and forwards it
// to the caller.
#include <optional>
#include <utility>

#include "base/hash.h"
#include "base/http_status.h"
#include "base/log.h"
#include "gateway/exchange.h"
#include "platform/platform.h"
#include "routing/answer_buffers.h"

namespace sassafras {

namespace {

// An answer body of up to this size is forwarded only when it is complete, so
// that the request can be tried again if the answer breaks off; a larger one
// is streamed.
constexpr size_t kMaxBufferedAnswerBytes = 64 << 10;
// Bytes of interim answers and of answers to other requests that one try may
// skip. Late answers are few; beyond this limit the try fails rather than wait
// for its own answer.
constexpr size_t kMaxSkippedBytes = 1 << 20;
constexpr HttpReadLimits kAnswerLimits{64 << 10, 1ULL << 30};

bool IsBodiless(int status) {
  return status == 204 || status == 304;
}

}  // namespace

void GatewayExchange::StartReading() {
  try_->reader = NewAnswerReader(kAnswerLimits, request_.method == "HEAD");
}

void GatewayExchange::OnAnswerData(std::string_view data) {
  if (!try_ || !try_->head_sent)
    return;
  const auto self = shared_from_this();
  try_->input.append(data);
  ReadAnswers();
}

void GatewayExchange::ReadAnswers() {
  while (try_ && !try_->input.empty()) {
    Try& t = *try_;
    const size_t n = t.reader->Read(t.input);
    t.input.erase(0, n);
    if (t.reader->state() == HttpReadState::kHead)
      return;
    if (t.reader->state() != HttpReadState::kBody &&
        t.reader->state() != HttpReadState::kComplete) {
      EndTry(TryOutcome::kBadAnswer);
      return;
    }
    if (!OnAnswerHead())
      return;
    t.answer_body += t.reader->TakeBody();
    if (t.is_skipping) {
      t.answer_body.clear();
      t.skipped_bytes += n;
      if (t.skipped_bytes > kMaxSkippedBytes) {
        EndTry(TryOutcome::kBadAnswer);
        return;
      }
    }
    if (t.reader->state() == HttpReadState::kComplete) {
      if (OnAnswerEnd())
        return;
      continue;
    }
    const bool is_long_body = t.answer_body.size() > kMaxBufferedAnswerBytes;
    if (is_long_body && t.answer.proves_not_run) {
      // The head suffices; the rest of the body is not needed.
      EndTry(TryOutcome::kNotRun);
      return;
    }
    if (answer_begun_ || is_long_body)
      ForwardAnswer(false);
    return;
  }
}

// Checks the head of the current answer; returns false if the try has ended.
bool GatewayExchange::OnAnswerHead() {
  Try& t = *try_;
  if (t.has_answer || t.is_skipping)
    return true;
  const HttpHead& head = t.reader->head();
  if (head.status < 200) {
    // An interim answer (1xx). That includes 101: the gateway requests no
    // protocol switch.
    t.is_skipping = true;
    return true;
  }
  t.answer = platform::DecodeAnswer(head);
  // Endpoints name the request in each answer. An answer that names none may be
  // a copy of the answer to an earlier request on the connection.
  if (t.answer.request_id != request_.id) {
    t.is_skipping = true;
    state_.metrics.Count("gateway_foreign_answers_total", "");
    LogLine(LogLevel::kWarning, "request",
            "Skipped an answer that is not for this request.")
        .With("id", request_.id)
        .With("other", t.answer.request_id.empty() ? "-" : t.answer.request_id)
        .With("status", t.answer.status)
        .With("endpoint", t.endpoint->record.id);
    return true;
  }
  t.has_answer = true;
  t.decoded_fields = head.fields.size();
  OnNotices(t.answer);
  last_reported_load_ = t.answer.load;
  if (t.answer.load) {
    OnReport(*t.endpoint, {t.answer.load->running, t.answer.load->waiting,
                           t.answer.load->slots, state_.loop.Now()});
  }
  const bool is_proper = t.answer.is_signed && !t.answer.is_encoded;
  // Forwarded, its status would tell the caller that the request did not run,
  // which the endpoint has not stated.
  const bool is_unproven =
      t.answer.status_implies_not_run && !t.answer.proves_not_run;
  const bool is_improper =
      !t.answer.proves_not_run && IsSuccess(t.answer.status) && !is_proper;
  if (is_unproven || is_improper) {
    EndTry(TryOutcome::kBadAnswer);
    return false;
  }
  return true;
}

void GatewayExchange::OnNotices(const WireAnswer& answer) {
  // An answer of 421 (Misdirected Request) comes from another endpoint, which
  // has taken over the address.
  if (answer.status == kHttpMisdirectedRequest)
    return;
  if (answer.is_leaving)
    OnLeavingAnswer(answer);
  if (answer.retry_after)
    OnBackoffAnswer(*answer.retry_after);
}

// The reader adds the fields of a trailer to the head.
void GatewayExchange::OnTrailer() {
  const HttpHead& head = try_->reader->head();
  if (head.fields.size() > try_->decoded_fields)
    OnNotices(platform::DecodeAnswer(head));
}

void GatewayExchange::OnLeavingAnswer(const WireAnswer& answer) {
  const EndpointView& endpoint = *try_->endpoint;
  const Time now = state_.loop.Now();
  if (!OnLeaving(state_.endpoints, endpoint.incarnation, now, now))
    return;
  state_.pool.CloseIdle(endpoint);
  state_.metrics.Count("gateway_leaving_notices_total", "source=\"answer\"");
  LogLine(LogLevel::kInfo, "endpoints", "Endpoint is leaving.")
      .With("endpoint", endpoint.record.id)
      .With("source", "answer")
      .With("id", request_.id)
      .With("status", answer.status)
      .With("registry_state", NameOf(endpoint.state))
      .With("registry_state_ms", Millis(now - endpoint.state_since));
}

void GatewayExchange::OnBackoffAnswer(Duration retry_after) {
  const EndpointView& endpoint = *try_->endpoint;
  const Time now = state_.loop.Now();
  const std::optional<Time> resume_at =
      OnBackoff(state_.endpoints, endpoint.incarnation, retry_after,
                UnitInterval(state_.random()), now);
  if (!resume_at)
    return;
  state_.metrics.Count("gateway_backoffs_total", "");
  LogLine(LogLevel::kInfo, "endpoints", "Endpoint wants no requests.")
      .With("endpoint", endpoint.record.id)
      .With("source", "answer")
      .With("id", request_.id)
      .With("retry_after_ms", Millis(retry_after))
      .With("resumes_in_ms", Millis(*resume_at - now));
}

// Handles a complete answer; returns true if the try has ended.
bool GatewayExchange::OnAnswerEnd() {
  Try& t = *try_;
  if (t.is_skipping) {
    t.is_skipping = false;
    StartReading();
    return false;
  }
  OnTrailer();
  if (t.answer.proves_not_run)
    EndTry(TryOutcome::kNotRun);
  else if (t.answer.status >= kHttpInternalServerError)
    EndTry(TryOutcome::kFailed);
  else
    EndTry(TryOutcome::kAnswered);
  return true;
}

void GatewayExchange::OnStreamEnd(StreamEnd end) {
  if (!try_)
    return;
  const auto self = shared_from_this();
  Try& t = *try_;
  if (!t.head_sent) {
    EndTry(TryOutcome::kNotSent);
    return;
  }
  if (end == StreamEnd::kClosed && t.has_answer) {
    // The end of the connection ends the body of an answer without a length.
    t.reader->ReadEnd();
    t.answer_body += t.reader->TakeBody();
    if (t.reader->state() == HttpReadState::kComplete) {
      LogLine(LogLevel::kInfo, "request", "Answer ended with its connection.")
          .With("id", request_.id)
          .With("endpoint", t.endpoint->record.id)
          .With("status", t.answer.status)
          .With("body_bytes", answer_bytes_ + t.answer_body.size())
          .With("request_sent", t.request_sent)
          .With("unsent_bytes", t.stream->pending());
      OnAnswerEnd();
      return;
    }
  }
  EndTry(TryOutcome::kBroken);
}

HttpFields GatewayExchange::AnswerFields(const WireAnswer& answer) {
  HttpFields fields = answer.forwarded;
  const auto sink = sink_.lock();
  if (sink && sink->DecideClose(*this))
    fields.push_back({"Connection", "close"});
  return fields;
}

// Sends the buffered part of the answer's body to the caller, after the head if
// that was not sent yet.
void GatewayExchange::ForwardAnswer(bool complete) {
  const auto sink = sink_.lock();
  if (!sink || caller_gone_) {
    try_->answer_body.clear();
    return;
  }
  Try& t = *try_;
  answer_bytes_ += t.answer_body.size();
  const HttpHead& head = t.reader->head();
  const bool has_body =
      request_.method != "HEAD" && !IsBodiless(t.answer.status);
  if (!answer_begun_) {
    answer_begun_ = true;
    HttpFields fields = AnswerFields(t.answer);
    answer_chunked_ = !complete && !head.content_length;
    if (has_body && answer_chunked_)
      fields.push_back({"Transfer-Encoding", "chunked"});
    else if (has_body)
      fields.push_back(
          {"Content-Length", std::to_string(complete ? t.answer_body.size()
                                                     : *head.content_length)});
    sink->Send(*this, FormatAnswerHead(t.answer.status, fields));
  }
  // Not cleared, which would keep the memory while the answer waits.
  std::string body = std::exchange(t.answer_body, {});
  if (has_body && !body.empty())
    sink->Send(*this, answer_chunked_ ? FormatChunk(body) : std::move(body));
  if (complete && answer_chunked_)
    sink->Send(*this, std::string(kLastChunk));
  if (!complete && t.stream &&
      sink->UnsentBytes(*this) >
          MaxUnsentAnswerBytes(state_.settings.memory_bytes,
                               state_.open_exchanges))
    t.stream->SetReading(false);
}

void GatewayExchange::OnCallerDrained() {
  if (try_ && try_->stream)
    try_->stream->SetReading(true);
}

}  // namespace sassafras
