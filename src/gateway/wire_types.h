// Requests and answers as the gateway sees them, apart from how the platform
// spells their fields.
#ifndef GATEWAY_WIRE_TYPES_H_
#define GATEWAY_WIRE_TYPES_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "http1/http1.h"

namespace sassafras {

// A caller's request, without its body.
struct CallerRequest {
  std::string id;  // Unique per try of the caller; empty if it sent none.
  std::string method;
  std::string target;        // Path with query.
  std::string path;          // Without query.
  std::string host;          // As in the Host field.
  std::string affinity_key;  // Names the object concerned; may be empty.
  std::string credentials;   // Credentials and cookies; may be empty.
  std::optional<Duration> time_limit;  // How long the caller waits.
  bool expects_continue = false;       // Waits for status 100 before its body.
  HttpFields forwarded;                // Fields that the endpoint gets as sent.
};

// What an endpoint's answer says beside its status and body.
struct WireAnswer {
  int status = 0;
  std::string request_id;  // The request it belongs to; empty if not stated.
  bool is_signed = false;  // Bears the endpoint's signature over the answer.
  // The endpoint states that it did not run the request.
  bool proves_not_run = false;
  // Its status tells callers that the request has not run.
  bool status_implies_not_run = false;
  bool is_encoded = false;  // The body is not as the endpoint made it.
  struct Load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
  };
  std::optional<Load> load;
  // How long the endpoint keeps the connection without a request.
  std::optional<Duration> idle_timeout;
  HttpFields forwarded;  // Fields that the caller gets as sent.
};

}  // namespace sassafras

#endif  // GATEWAY_WIRE_TYPES_H_
