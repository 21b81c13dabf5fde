// How a try's answer is read and handed on to the caller.
#include <utility>

#include "base/http_status.h"
#include "base/log.h"
#include "gateway/exchange.h"
#include "platform/platform.h"

namespace sassafras {

namespace {

// An answer up to this size reaches the caller only when it is whole, so that
// one that breaks off can be repeated; a longer one is streamed.
constexpr size_t kHoldBytes = 64 << 10;
// Unsent bytes of an answer above which the endpoint is not read from.
constexpr size_t kAnswerWindow = 256 << 10;
// Bytes of other requests' answers and of interim ones that are read past in
// one try: late answers are few, and more is no answer to wait behind.
constexpr size_t kMostSkipped = 1 << 20;
constexpr HttpReadLimits kAnswerLimits{64 << 10, 1ULL << 30};

bool IsBodiless(int status) {
  return status == 204 || status == 304;
}

}  // namespace

void GatewayExchange::StartReading() {
  try_->reader = NewAnswerReader(kAnswerLimits, request_.method == "HEAD");
}

void GatewayExchange::OnAnswerData(std::string_view data) {
  if (!try_ || !try_->sent)
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
    if (!TakeAnswerHead())
      return;
    t.body += t.reader->TakeBody();
    if (t.skips) {
      t.body.clear();
      t.skipped += n;
      if (t.skipped > kMostSkipped) {
        EndTry(TryOutcome::kBadAnswer);
        return;
      }
    }
    if (t.reader->state() == HttpReadState::kComplete) {
      if (TakeAnswerEnd())
        return;
      continue;
    }
    const bool is_long_body = t.body.size() > kHoldBytes;
    if (is_long_body && t.answer.proves_not_run) {
      // Its head says all that counts.
      EndTry(TryOutcome::kNotRun);
      return;
    }
    if (answer_begun_ || is_long_body)
      ForwardAnswer(false);
    return;
  }
}

// Judges the head of the answer being read; false if the try has ended.
bool GatewayExchange::TakeAnswerHead() {
  Try& t = *try_;
  if (t.has_answer || t.skips)
    return true;
  const HttpHead& head = t.reader->head();
  if (head.status < 200) {
    // An interim answer; switching protocols was not asked for.
    t.skips = true;
    return true;
  }
  t.answer = platform::DecodeAnswer(head);
  // Endpoints name the request in each answer. One that names none may be a
  // copy of what was said of an earlier request of the connection.
  if (t.answer.request_id != request_.id) {
    t.skips = true;
    state_.metrics.Count("gateway_foreign_answers_total", "");
    LogLine(LogLevel::kWarning, "request", "Another request's answer arrived.")
        .With("id", request_.id)
        .With("other", t.answer.request_id.empty() ? "-" : t.answer.request_id)
        .With("status", t.answer.status)
        .With("endpoint", t.endpoint->record.id);
    return true;
  }
  t.has_answer = true;
  last_report_ = t.answer.load;
  if (t.answer.load) {
    OnReport(*t.endpoint, {t.answer.load->running, t.answer.load->waiting,
                           t.answer.load->slots, state_.loop.Now()});
  }
  const bool is_proper = t.answer.is_signed && !t.answer.is_encoded;
  // Handed on, it would promise the caller what nobody has proved.
  const bool is_unproven =
      t.answer.promises_not_run && !t.answer.proves_not_run;
  const bool is_improper =
      !t.answer.proves_not_run && IsSuccess(t.answer.status) && !is_proper;
  if (is_unproven || is_improper) {
    EndTry(TryOutcome::kBadAnswer);
    return false;
  }
  return true;
}

// Takes the end of a message; true if the try has ended with it.
bool GatewayExchange::TakeAnswerEnd() {
  Try& t = *try_;
  if (t.skips) {
    t.skips = false;
    StartReading();
    return false;
  }
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
  if (!t.sent) {
    EndTry(TryOutcome::kNotSent);
    return;
  }
  if (end == StreamEnd::kClosed && t.has_answer) {
    // An answer without a length ends with its connection.
    t.reader->ReadEnd();
    t.body += t.reader->TakeBody();
    if (t.reader->state() == HttpReadState::kComplete) {
      TakeAnswerEnd();
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

// Hands a part of the answer's body to the caller, its head before the first.
void GatewayExchange::ForwardAnswer(bool complete) {
  const auto sink = sink_.lock();
  if (!sink || caller_gone_) {
    try_->body.clear();
    return;
  }
  Try& t = *try_;
  answer_bytes_ += t.body.size();
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
          {"Content-Length",
           std::to_string(complete ? t.body.size() : *head.content_length)});
    sink->Send(*this, FormatAnswerHead(t.answer.status, fields));
  }
  if (has_body && !t.body.empty())
    sink->Send(*this, answer_chunked_ ? FormatChunk(t.body)
                                      : std::exchange(t.body, {}));
  t.body.clear();
  if (complete && answer_chunked_)
    sink->Send(*this, std::string(kLastChunk));
  if (!complete && t.stream && sink->Unsent(*this) > kAnswerWindow)
    t.stream->SetReading(false);
}

void GatewayExchange::OnCallerDrained() {
  if (try_ && try_->stream)
    try_->stream->SetReading(true);
}

}  // namespace sassafras
