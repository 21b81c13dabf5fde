// A caller's connection: reads requests, also several ahead, and sends their
// answers in the order of the requests.
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

  CallerConnection(GatewayState& state, Socket socket, OnClosed on_closed);

  void Start();
  // Closes the connection if its caller is idle for too long or sends a
  // request's head too slowly.
  void CloseIfTimedOut(Time now);
  // Closes the connection unless a request is open on it.
  void CloseIfIdle();
  void CloseNow();

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

  GatewayState& state_;
  OnClosed on_closed_;
  std::shared_ptr<Stream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::string input_;
  std::deque<ExchangePtr> queue_;  // In the order of their requests.
  ExchangePtr reading_exchange_;   // Whose body is being read.
  bool closing_ = false;           // No more requests are read.
  bool close_decided_ = false;     // An answer said that the connection ends.
  bool in_read_ = false;
  Time last_activity_;
  Time request_started_;  // First byte of the request being read.
};

}  // namespace sassafras

#endif  // GATEWAY_CALLER_CONNECTION_H_
