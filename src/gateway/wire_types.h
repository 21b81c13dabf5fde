// Requests of callers and answers of endpoints, decoded from HTTP heads.
//
// Independent of the platform's field names; see DecodeRequest() and
// DecodeAnswer() in platform/platform.h.
#ifndef GATEWAY_WIRE_TYPES_H_
#define GATEWAY_WIRE_TYPES_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "http1/http1.h"

namespace sassafras {

// The decoded head of a caller's request.
struct CallerRequest {
  std::string id;  // Unique per attempt of the caller; empty if not sent.
  std::string method;
  std::string target;        // Path with query string.
  std::string path;          // Without query string.
  std::string host;          // Value of the Host field.
  std::string affinity_key;  // Id of the requested object; may be empty.
  std::string credentials;   // Authorization and Cookie values; may be empty.
  std::optional<Duration> time_limit;  // How long the caller waits.
  bool expects_continue = false;       // Waits for status 100 before its body.
  HttpFields forwarded;                // Sent to the endpoint unchanged.
};

// The decoded head of an endpoint's answer.
struct WireAnswer {
  int status = 0;
  std::string request_id;  // Id of the request answered; empty if missing.
  bool is_signed = false;  // Has the endpoint's signature over the answer.
  // The endpoint states, by a field or by its status, that it did not run the
  // request.
  bool proves_not_run = false;
  // Callers take the status to mean that the request did not run.
  bool status_implies_not_run = false;
  // Has Content-Encoding: the body is not as the endpoint made it.
  bool is_encoded = false;
  // The endpoint's load, in requests.
  struct Load {
    int running = 0;
    int waiting = 0;  // Queued.
    int slots = 0;    // Requests that it can run at once.
  };
  std::optional<Load> load;
  // The endpoint is about to end and wants no further requests.
  bool is_leaving = false;
  // With status 503: how long the endpoint wants no requests of this host.
  std::optional<Duration> retry_after;
  // Keep-Alive timeout: how long the endpoint keeps an idle connection open.
  std::optional<Duration> idle_timeout;
  HttpFields forwarded;  // Sent to the caller unchanged.
};

}  // namespace sassafras

#endif  // GATEWAY_WIRE_TYPES_H_
