// One request of a caller and its way to an answer: placed, sent to endpoints
// and answered or refused.
#ifndef GATEWAY_EXCHANGE_H_
#define GATEWAY_EXCHANGE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/wire_types.h"
#include "http1/http1.h"

namespace sassafras {

class GatewayExchange;

// The connection of the caller, as its exchanges use it.
class ExchangeSink {
 public:
  virtual ~ExchangeSink() = default;

  // Sends a part of the exchange's answer, in turn.
  virtual void Send(GatewayExchange& exchange, std::string bytes) = 0;
  // The answer is complete.
  virtual void Finish(GatewayExchange& exchange) = 0;
  // The answer has broken off and must not look complete.
  virtual void Abort(GatewayExchange& exchange) = 0;
  // Whether the connection ends behind this exchange's answer; asked once, as
  // the answer's head is made, and kept to.
  virtual bool DecideClose(GatewayExchange& exchange) = 0;
  // There is room again for more of the request's body.
  virtual void ResumeBody() = 0;
  // Bytes of the exchange's answer that the caller has not taken yet.
  virtual size_t UnsentBytes(const GatewayExchange& exchange) const = 0;
};

class GatewayExchange : public std::enable_shared_from_this<GatewayExchange> {
 public:
  GatewayExchange(GatewayState& state,
                  std::weak_ptr<ExchangeSink> sink,
                  const HttpHead& head,
                  Time arrived);
  ~GatewayExchange();
  GatewayExchange(const GatewayExchange&) = delete;
  GatewayExchange& operator=(const GatewayExchange&) = delete;

  // Decides on the request once its head is known.
  void Begin();
  void OnBody(std::string_view data);
  void OnBodyEnd();
  // The body cannot be read on: `status` says why.
  void OnBodyFault(int status);
  // The caller has gone away before its answer was complete.
  void OnCallerGone();
  // The caller has taken what was sent.
  void OnCallerDrained();

  bool may_repeat() const { return !route_ || MayRepeat(route_->kind); }
  bool has_begun() const { return begun_; }
  bool is_finished() const { return finished_; }
  bool is_body_complete() const { return body_complete_; }
  // Whether more of the body may be read from the caller now.
  bool wants_body() const;
  // Whether any byte of the request was handed to an endpoint.
  bool was_dispatched() const { return sends_ > 0; }
  const CallerRequest& request() const { return request_; }
  bool caller_keeps_alive() const { return caller_keeps_alive_; }

  // Answer that waits for the answers before it; used by the sink.
  std::string held_output;
  bool held_finish = false;
  bool held_abort = false;
  // The answer's head said that the connection ends behind it.
  bool closes_connection = false;

 private:
  // One send to an endpoint.
  struct Try {
    EndpointPtr endpoint;
    std::shared_ptr<Stream> stream;
    std::unique_ptr<HttpReader> reader;
    WireAnswer answer;
    std::string input;
    std::string answer_body;     // Answer's body that the caller has not got.
    size_t body_bytes_sent = 0;  // Bytes of the request's body handed over.
    bool reused = false;
    bool head_sent = false;     // The request's head was handed over.
    bool request_sent = false;  // The request was handed over in whole.
    bool has_answer = false;    // `answer` is this request's.
    bool is_skipping = false;   // The answer being read is another request's.
    size_t skipped_bytes = 0;   // Bytes of such answers.
    Time started;
    Time sent_at;
  };

  void RecordDemand();
  void StartTries();
  bool RefuseIfSuspect();
  void TryNext();
  void Connect(const EndpointPtr& endpoint);
  void OnConnected();
  void SendRequest();
  void SendBody();
  void OnEndpointDrained();
  // Expects the head of an answer next.
  void StartReading();
  void OnAnswerData(std::string_view data);
  void ReadAnswers();
  bool OnAnswerHead();
  bool OnAnswerEnd();
  void ForwardAnswer(bool complete);
  void OnStreamEnd(StreamEnd end);
  void EndTry(TryOutcome outcome);
  void ReleaseStream(TryOutcome outcome);
  void AfterTry(TryOutcome outcome, Try ended);
  void Deliver(Try& ended);
  void Refuse(const char* cause, std::optional<Duration> retry_after);
  void SendOwnAnswer(int status,
                     const char* cause,
                     std::optional<Duration> retry_after);
  void Finish(int status, const char* cause);
  void OnDeadline();
  void StartTimer(Duration delay);
  HttpFields AnswerFields(const WireAnswer& answer);
  void RecordOutcome(const Try& ended, TryOutcome outcome);
  void RecordCrash(const Try& ended, TryOutcome outcome);
  void RecordAnswer(const Try& ended);
  void LogTry(const Try& ended, TryOutcome outcome, NextStep step) const;
  Duration TimeLeft() const;
  uint64_t HashOfId() const;

  GatewayState& state_;
  std::weak_ptr<ExchangeSink> sink_;
  CallerRequest request_;
  // See HashOfRequest(); known from the first placement on.
  uint64_t request_hash_ = 0;
  bool caller_keeps_alive_ = true;
  bool has_body_ = false;
  bool caller_chunked_ = false;
  std::optional<uint64_t> body_length_;

  // Held so that the route outlives a change of the configuration.
  std::shared_ptr<const SteeringConfig> config_;
  const RequestRoute* route_ = nullptr;
  ServiceId service_;
  bool is_long_ = false;
  double reserved_share_ = 0;
  Time arrived_;
  Time deadline_;

  std::string body_;       // Request's body from `body_begin_` on.
  size_t body_begin_ = 0;  // Bytes of the body that were dropped.
  bool body_complete_ = false;
  uint64_t answer_bytes_ = 0;  // Of the answer's body, so far.

  std::unique_ptr<Try> try_;
  std::vector<EndpointPtr> tried_;
  int sends_ = 0;
  bool may_have_run_ = false;
  bool answer_begun_ = false;
  bool answer_chunked_ = false;
  bool begun_ = false;
  bool finished_ = false;
  bool caller_gone_ = false;
  bool deadline_extended_ = false;
  double placement_load_ = 0;  // At the last placement.
  Time first_placed_at_;       // Zero: the request was never placed.
  Time last_sent_at_;          // Zero: nothing was sent.
  // The load that the last answering endpoint reported.
  std::optional<WireAnswer::Load> last_reported_load_;
  std::unique_ptr<Watch> timer_;
  std::unique_ptr<Watch> connect_timer_;
};

}  // namespace sassafras

#endif  // GATEWAY_EXCHANGE_H_
