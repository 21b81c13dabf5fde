// HTTP/1.1 client for requests to endpoints, built on libcurl.
//
// Each request is sent at most once. libcurl would send a request again when
// the idle connection that it reused turns out to be closed; this resend is
// blocked because the endpoint may have received the request already. The
// result tells whether any byte of the request may have been sent.
#ifndef ENDPOINTS_ENDPOINTS_H_
#define ENDPOINTS_ENDPOINTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/address.h"
#include "base/byte_pipe.h"
#include "base/ids.h"
#include "base/loop.h"
#include "decisions/messages.h"

namespace sassafras {

using EndpointHeaders = std::vector<std::pair<std::string, std::string>>;

struct EndpointRequest {
  ExchangeId exchange;
  Address address;
  std::string method;
  std::string target;  // Path and query string.
  EndpointHeaders headers;
  Duration timeout{};
  std::string whole_body;               // Used if `body` is null.
  std::shared_ptr<BytePipe> body;       // Streamed body; null if there is none.
  std::optional<uint64_t> body_length;  // Of a streamed body, if known.
  // Response header by which an endpoint states that a request answered with
  // 503 was not run. Empty if the service has none.
  std::string shed_header;
  size_t buffer_bytes = 256 << 10;  // Capacity of the pipe for the answer.
  // Largest answer body that is copied into EndpointResult::answer.
  size_t keep_bytes = 64 << 10;
};

// Status and headers of an endpoint's answer. Its body is written to `body`
// while it arrives.
struct EndpointAnswer {
  int status = 0;
  EndpointHeaders headers;
  std::optional<uint64_t> length;  // Content-Length, if sent.
  std::shared_ptr<BytePipe> body;
};

struct EndpointResult {
  SlotOutcome outcome = SlotOutcome::kBroken;
  bool answer_begun = false;   // `on_head` was called.
  bool body_consumed = false;  // Some of a streamed body was read.
  // `answer` holds the complete answer: all of it was received and its body is
  // not larger than EndpointRequest::keep_bytes.
  bool answer_kept = false;
  StoredAnswer answer;
};

class EndpointClient {
 public:
  using OnHead = std::function<void(EndpointAnswer)>;
  using OnEnd = std::function<void(EndpointResult)>;

  virtual ~EndpointClient() = default;
  // Sends a request. `on_head` is called at most once, then `on_end` once.
  // `on_head` is not called for a 503 with the shed header, so that the request
  // can still be sent to another endpoint.
  virtual void Send(EndpointRequest request, OnHead on_head, OnEnd on_end) = 0;
  // Aborts a request and its body pipes; `on_end` is not called.
  virtual void Cancel(ExchangeId exchange) = 0;
};

std::unique_ptr<EndpointClient> MakeEndpointClient(Loop& loop);

}  // namespace sassafras

#endif  // ENDPOINTS_ENDPOINTS_H_
