// Server side of a caller's HTTP/1.1 connection.
//
// Reads pipelined requests ahead, up to a limit that bounds memory, and sends
// their answers in the order of the requests.
#ifndef GATEWAY_CALLER_CONNECTION_H_
#define GATEWAY_CALLER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "gateway/exchange.h"

namespace sassafras {

class CallerConnection : public ExchangeSink,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  using OnClosed = std::function<void(CallerConnection*)>;

  // `on_closed` is called once, when the connection ends. If it is closed
  // gracefully, that is after the last answer was sent.
  CallerConnection(GatewayState& state, Socket socket, OnClosed on_closed);

  void Start();
  // Closes the connection if it has been idle for longer than the idle timeout,
  // or a request's head has taken longer than the head timeout (answered with
  // status 408). Called periodically.
  void CloseIfTimedOut(Time now);
  // Closes the connection unless a request on it is unanswered.
  void CloseIfIdle();
  // What the connection holds, by which the host decides whether it gives way.
  CallerHold Hold() const;
  // The host needs its memory or its descriptor: refuses requests that have
  // not begun or whose body is incomplete, and closes the connection after the
  // answers to the others. A connection that is closing is closed at once.
  void GiveWay();
  // The host is about to exit: answers the open requests and closes.
  void EndOpenRequests();

  void Send(GatewayExchange& exchange, std::string bytes) override;
  void Finish(GatewayExchange& exchange) override;
  void Abort(GatewayExchange& exchange) override;
  bool DecideClose(GatewayExchange& exchange) override;
  void ResumeBody() override;
  size_t UnsentBytes(const GatewayExchange& exchange) const override;

 private:
  using ExchangePtr = std::shared_ptr<GatewayExchange>;

  void OnData(std::string_view data);
  void OnEnd();
  void ReadRequests();
  bool ReadCurrentRequest();
  bool MayReadNext() const;
  void BeginRequest();
  void PassBody();
  void OnReadFault(HttpReadState fault);
  void AnswerFault(int status);
  void BeginWaitingRequests();
  void PopFinished();
  void Close(bool gracefully);
  bool IsFront(const GatewayExchange& exchange) const;
  void UpdateReading();
  void CountHeldBytes();

  GatewayState& state_;
  OnClosed on_closed_;
  std::shared_ptr<Stream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::string input_;
  std::deque<ExchangePtr> queue_;  // In the order of arrival.
  ExchangePtr reading_exchange_;   // The one whose body is being read.
  bool closing_ = false;           // No more requests are read.
  bool close_decided_ = false;     // An answer's head has said `close`.
  bool in_read_ = false;
  bool is_lingering_ = false;  // See Stream::CloseGracefully().
  bool gave_way_ = false;
  BufferedBytes held_;  // By `input_`.
  Time last_activity_;
  Time last_progress_;               // See CallerHold.
  size_t bytes_since_progress_ = 0;  // Received.
  Time request_started_;             // When reading of the current head began.
};

}  // namespace sassafras

#endif  // GATEWAY_CALLER_CONNECTION_H_
