// One request of a caller, from its head to its answer.
//
// The exchange chooses an endpoint, sends the request and forwards the answer.
// If an endpoint fails, it tries another one where that is safe; it refuses
// requests that cannot be served in time or that crash endpoints.
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

// A request body of up to this size is buffered until the answer, so that it
// can be sent to another endpoint; a larger one is streamed and sent once.
inline constexpr size_t kMaxReplayBytes = 256 << 10;

// The caller's connection as seen by its exchanges. It sends their answers in
// the order of their requests.
class ExchangeSink {
 public:
  virtual ~ExchangeSink() = default;

  // Sends a part of the exchange's answer, or holds it until the answers to
  // earlier requests are complete.
  virtual void Send(GatewayExchange& exchange, std::string bytes) = 0;
  // The answer is complete.
  virtual void Finish(GatewayExchange& exchange) = 0;
  // The answer is truncated: ends the connection, so that the caller does not
  // take the answer for complete.
  virtual void Abort(GatewayExchange& exchange) = 0;
  // Decides whether the connection closes after this exchange's answer. Called
  // once, when the answer's head is written; the decision is final.
  virtual bool DecideClose(GatewayExchange& exchange) = 0;
  // The exchange can buffer more of the request's body.
  virtual void ResumeBody() = 0;
  // Buffered bytes of the exchange's answer.
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

  // Validates the request by its head, then sends it or answers it with an
  // error.
  void Begin();
  void OnBody(std::string_view data);
  void OnBodyEnd();
  // The request's body is invalid or too large; `status` is answered if no part
  // of an answer was sent.
  void OnBodyFault(int status);
  // The connection ended before the answer was complete. Stops the work unless
  // the request is not idempotent and was sent completely.
  void OnCallerGone();
  // The host is about to exit: ends the work and answers the caller, or
  // truncates an answer that has begun.
  void OnHostExit();
  // The host needs the memory or the connection: ends a request that has not
  // begun or whose body is not complete. It is refused if no endpoint got any
  // of it.
  void OnGiveWay();
  // Releases the part of the body that is kept only to send it again.
  void ReleaseSentBody();
  // All buffered output was sent to the caller: resumes reading the endpoint's
  // answer.
  void OnCallerDrained();

  // Whether the request may run more than once; true if no route is known.
  bool may_repeat() const { return !route_ || MayRepeat(route_->kind); }
  bool has_begun() const { return begun_; }
  bool is_finished() const { return finished_; }
  bool is_body_complete() const { return body_complete_; }
  // Whether more of the body may be read from the caller.
  bool wants_body() const;
  // Whether the request was sent to any endpoint.
  bool was_dispatched() const { return sends_ > 0; }
  const CallerRequest& request() const { return request_; }
  // Of the request; see RequestBuffers.
  size_t held_bytes() const { return held_.bytes(); }
  bool caller_keeps_alive() const { return caller_keeps_alive_; }

  // State of an answer that waits for earlier answers on the connection; used
  // by the sink.
  std::string held_output;
  bool held_finish = false;
  bool held_abort = false;
  // The answer's head has said that the connection closes after it.
  bool closes_connection = false;

 private:
  // One attempt to have the request answered by one endpoint.
  struct Try {
    EndpointPtr endpoint;
    std::shared_ptr<Stream> stream;
    std::unique_ptr<HttpReader> reader;
    WireAnswer answer;
    std::string input;
    std::string answer_body;     // Not yet forwarded to the caller.
    size_t body_bytes_sent = 0;  // Written bytes of the request's body.
    bool reused = false;         // The connection came from the pool.
    bool head_sent = false;      // The request's head was written.
    bool request_sent = false;   // Head and whole body were written.
    bool has_answer = false;     // `answer` is this request's.
    size_t decoded_fields = 0;   // Of its head; those of a trailer follow.
    bool is_skipping = false;    // Reading an answer that is not forwarded.
    size_t skipped_bytes = 0;    // Of such answers.
    Time started;
    Time sent_at;
  };

  void FollowConfiguration();
  void RecordDemand();
  void LogNoRoute() const;
  void StartTries();
  bool RefuseIfSuspect();
  bool RefuseIfStopping();
  bool AreHomesKnown() const;
  bool RefuseIfHomesAreUnknown();
  void TryNext();
  void Connect(const EndpointPtr& endpoint);
  void OnConnected();
  bool WithholdIfNotAllowed();
  void SendRequest();
  void LogHomeSend() const;
  void SendBody();
  void OnEndpointDrained();
  // Starts to parse a new answer.
  void StartReading();
  void OnAnswerData(std::string_view data);
  void ReadAnswers();
  bool OnAnswerHead();
  // Applies what the endpoint says about itself in an answer.
  void OnNotices(const WireAnswer& answer);
  void OnTrailer();
  void OnLeavingAnswer(const WireAnswer& answer);
  void OnBackoffAnswer(Duration retry_after);
  bool OnAnswerEnd();
  void ForwardAnswer(bool complete);
  void OnStreamEnd(StreamEnd end);
  void EndTry(TryOutcome outcome);
  void ReleaseStream(TryOutcome outcome);
  void AfterTry(TryOutcome outcome, Try ended);
  void Deliver(Try& ended);
  // When the caller of a refused request should come back: not before any
  // endpoint takes requests.
  Duration RetryAfterRefusal();
  void Refuse(const char* cause, std::optional<Duration> retry_after);
  void SendOwnAnswer(int status,
                     const char* cause,
                     std::optional<Duration> retry_after);
  void Finish(int status, const char* cause);
  void OnDeadline();
  void CountHeldBytes();
  void ReleaseBody();
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
  // See HashOfRequest(); valid from StartTries() on.
  uint64_t request_hash_ = 0;
  bool caller_keeps_alive_ = true;
  bool has_body_ = false;
  bool caller_chunked_ = false;
  std::optional<uint64_t> body_length_;

  // Keeps `route_` valid if the configuration changes.
  std::shared_ptr<const SteeringConfig> config_;
  const RequestRoute* route_ = nullptr;
  // Where the request may be sent, by the newest configuration that it has
  // followed.
  HomeRegions homes_;
  std::shared_ptr<const SteeringConfig> followed_config_;
  ServiceId service_;
  bool is_long_ = false;
  double reserved_share_ = 0;
  double objects_ = 0;  // See PlacementRequest.
  Time arrived_;
  Time deadline_;

  std::string body_;       // Request's body from offset `body_begin_`.
  size_t body_begin_ = 0;  // Bytes of the body already discarded.
  bool body_complete_ = false;
  BufferedBytes held_;
  uint64_t answer_bytes_ = 0;  // Forwarded bytes of the answer's body.

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
  double placement_load_ = 0;  // Load of the chosen endpoint.
  Time first_placed_at_;       // Default: never placed.
  Time last_sent_at_;          // Default: never sent.
  // From the last answer to this request; unset if it reported no load.
  std::optional<WireAnswer::Load> last_reported_load_;
  std::unique_ptr<Watch> timer_;
  std::unique_ptr<Watch> connect_timer_;
};

}  // namespace sassafras

#endif  // GATEWAY_EXCHANGE_H_
