// Requests to endpoints over HTTP/1.1, on libcurl.
//
// One request is sent at most once: the library's own repetition on a kept
// connection that turned out to be closed is refused. The end of a dispatch
// tells whether any byte of the request may have been sent.
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
  std::string target;  // Path with query.
  EndpointHeaders headers;
  Duration timeout{};
  std::string whole_body;               // Used when `body` is null.
  std::shared_ptr<BytePipe> body;       // Streamed body.
  std::optional<uint64_t> body_length;  // Of a streamed body, if known.
  std::string shed_header;              // Proof that a 503 did not run.
  size_t buffer_bytes = 256 << 10;      // For the answer.
  size_t keep_bytes = 64 << 10;         // Largest answer that is kept.
};

// The head of an endpoint's answer; its body follows through `body`.
struct EndpointAnswer {
  int status = 0;
  EndpointHeaders headers;
  std::optional<uint64_t> length;
  std::shared_ptr<BytePipe> body;
};

struct EndpointResult {
  SlotOutcome outcome = SlotOutcome::kBroken;
  bool answer_begun = false;   // The head was handed on.
  bool body_consumed = false;  // A part of a streamed body was read.
  bool answer_kept = false;
  StoredAnswer answer;
};

class EndpointClient {
 public:
  using OnHead = std::function<void(EndpointAnswer)>;
  using OnEnd = std::function<void(EndpointResult)>;

  virtual ~EndpointClient() = default;
  // Sends a request. `on_head` is called at most once, then `on_end` once.
  // Answers that prove that nothing ran have no head.
  virtual void Send(EndpointRequest request, OnHead on_head, OnEnd on_end) = 0;
  // Gives up a request; `on_end` is not called.
  virtual void Cancel(ExchangeId exchange) = 0;
};

std::unique_ptr<EndpointClient> MakeEndpointClient(Loop& loop);

}  // namespace sassafras

#endif  // ENDPOINTS_ENDPOINTS_H_
