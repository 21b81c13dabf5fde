// HTTP/1.1 server for callers: look-ups (GET /v1/lookup) and calls to services
// (/v1/call/SERVICE/PATH). Requests that are malformed, too large or for an
// unknown service or route are answered here and do not reach the entry node.
#ifndef CALLERS_CALLERS_H_
#define CALLERS_CALLERS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/http_server.h"
#include "base/ids.h"
#include "base/loop.h"
#include "base/settings.h"
#include "decisions/entry_node.h"
#include "decisions/lookup.h"
#include "decisions/topology.h"

namespace sassafras {

// A request of a caller that has passed validation.
struct Call {
  std::shared_ptr<HttpSession> session;
  CallArrived arrived;     // The exchange id is set later.
  std::string target;      // Path and query string for the endpoint.
  std::string whole_body;  // Only of requests with a key.
  bool streams_body = false;
  uint64_t max_body_bytes = 0;
};

struct CallerServerConfig {
  HttpServerConfig server;
  // Limit for bodies of requests with an idempotency key, in addition to the
  // limit of the route: these bodies are held in memory.
  uint64_t max_keyed_body_bytes = 0;
  const Topology* topology = nullptr;
};

// Callbacks for valid requests.
struct CallerServerCallbacks {
  std::function<LookupAnswer(uint32_t client_ip)> on_lookup;
  std::function<void(Call)> on_call;
};

Result<std::unique_ptr<HttpServer>> StartCallerServer(
    Loop& loop,
    const CallerServerConfig& config,
    CallerServerCallbacks callbacks);

// Sends `problem` as application/problem+json. A `retry_after` is rounded up to
// whole seconds.
void RespondWithProblem(HttpSession& session, const Problem& problem);

// Encodes the answer to a look-up as JSON.
std::string EncodeLookup(const LookupAnswer& answer);

}  // namespace sassafras

#endif  // CALLERS_CALLERS_H_
